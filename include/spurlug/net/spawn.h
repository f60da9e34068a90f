//----------------------------------------------------------------------------------------------------------------------
// spurlug: starts coroutines whose exceptions are logged
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/net/io.h"

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>
#include <utility>

namespace spurlug::net
{

/// \brief Logs and counts an exception that ended a task.
/// \param task Constant name of the task, in snake_case.
void reportTaskFailure(std::string_view task, const std::exception_ptr &exception) noexcept;

/// \brief Number of exceptions that ended tasks of this process.
[[nodiscard]] std::int64_t failedTasks() noexcept;

/// \brief Starts a coroutine in the background. An exception that it throws ends only this coroutine, and is reported.
/// \param executor A loop, or an executor of one.
/// \param task Constant name of the task, in snake_case.
template<typename Executor>
void spawn(Executor &&executor, std::string_view task, Task<> coroutine)
{
    asio::co_spawn(std::forward<Executor>(executor), std::move(coroutine), [task](const std::exception_ptr &exception) {
        if (exception) {
            reportTaskFailure(task, exception);
        }
    });
}

/// \brief Starts a coroutine that runs as long as the process, and again after an exception, which is reported.
/// \param task Constant name of the task, in snake_case.
void spawnService(Loop &loop, std::string_view task, std::function<Task<>()> start);

} // namespace spurlug::net
