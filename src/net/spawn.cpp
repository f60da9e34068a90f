//----------------------------------------------------------------------------------------------------------------------
// spurlug: starts coroutines whose exceptions are logged
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/net/spawn.h"

#include "spurlug/core/log.h"

#include <atomic>
#include <nlohmann/json.hpp>

namespace spurlug::net
{

namespace
{

constexpr auto RestartDelay = absl::Milliseconds(100);

std::atomic<std::int64_t> g_failedTasks = 0; // NOLINT: a counter of the process

const char *describe(const std::exception_ptr &exception) noexcept
{
    try {
        std::rethrow_exception(exception);
    } catch (const std::exception &error) {
        return error.what(); // The caller's pointer keeps the exception alive.
    } catch (...) {
        return "unknown exception";
    }
}

Task<> keepRunning(std::string_view task, std::function<Task<>()> start)
{
    for (;;) {
        try {
            co_await start();
            co_return;
        } catch (...) {
            reportTaskFailure(task, std::current_exception());
        }
        co_await sleepFor(RestartDelay);
    }
}

} // namespace

void reportTaskFailure(std::string_view task, const std::exception_ptr &exception) noexcept
{
    ++g_failedTasks;
    try {
        core::log(core::LogLevel::Error, "task_failed", {{"task", task}, {"error", describe(exception)}});
    } catch (const std::exception &) {
        // Without memory for a log line, the counter alone tells.
    }
}

std::int64_t failedTasks() noexcept
{
    return g_failedTasks;
}

void spawnService(Loop &loop, std::string_view task, std::function<Task<>()> start)
{
    spawn(loop, task, keepRunning(task, std::move(start)));
}

} // namespace spurlug::net
