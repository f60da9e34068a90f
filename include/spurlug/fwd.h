//----------------------------------------------------------------------------------------------------------------------
// spurlug: forward declarations
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

namespace httplib
{
class ContentReader;
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace spurlug::daemon
{
class CallerApi;
class Daemon;
class DecisionFinder;
class LocalDomain;
class PeerClient;
struct Identity;
struct RequestGuard;
} // namespace spurlug::daemon

namespace spurlug::dispatch
{
class EventChannel;
class RequestHandler;
struct AttemptResult;
} // namespace spurlug::dispatch

namespace spurlug::grants
{
class Broker;
class BrokerHost;
class Group;
class GroupManager;
} // namespace spurlug::grants
