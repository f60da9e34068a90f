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
class HomeDomain;
class PeerCalls;
struct Identity;
struct RunGuard;
} // namespace spurlug::daemon

namespace spurlug::dispatch
{
class EventChannel;
class RequestRun;
struct AttemptEnd;
} // namespace spurlug::dispatch

namespace spurlug::grants
{
class Broker;
class BrokerHost;
class Group;
class GroupKeeper;
} // namespace spurlug::grants
