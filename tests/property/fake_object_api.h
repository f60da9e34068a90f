//----------------------------------------------------------------------------------------------------------------------
// spurlug: a fake object API that injects faults
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include "spurlug/core/error.h"
#include "spurlug/objects/object_api.h"

#include <functional>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace property
{

namespace core = spurlug::core;
namespace objects = spurlug::objects;

/// \brief Fault that the fake platform injects into a call.
enum class Fault
{
    None,
    Unavailable, ///< The call has no effect and reports that the platform is unavailable.
    AnswerLost, ///< A write takes effect, but its answer is lost.
    RequestLost, ///< A write has no effect, but its author cannot tell.
    ConcurrentWrite, ///< Another author's change is committed first.
};

/// \brief Objects and pending faults of a FakeObjectApi.
struct FakeState
{
    std::map<std::string, objects::Object> objects;
    std::int64_t lastVersion = 0;
    std::map<std::string, std::vector<std::string>> writtenValues; ///< All values that took effect, by object name.
    std::vector<Fault> faults;
    std::function<void()> concurrentWrite;
    bool inConcurrentWrite = false;

    Fault takeFault()
    {
        if (faults.empty() || inConcurrentWrite) {
            return Fault::None;
        }
        const auto fault = faults.back();
        faults.pop_back();
        return fault;
    }
};

/// \brief Object API that injects the faults of a FakeState; for use by a single thread.
class FakeObjectApi
{
public:
    explicit FakeObjectApi(FakeState &state)
        : m_state(state)
    { }

    [[nodiscard]] std::optional<objects::Object> read(const std::string &name) const
    {
        if (m_state.takeFault() == Fault::Unavailable) {
            throw core::PlatformUnavailable("down");
        }
        const auto found = m_state.objects.find(name);
        return found == m_state.objects.end() ? std::nullopt : std::optional(found->second);
    }

    [[nodiscard]] std::optional<objects::Object> waitForChange(const std::string &name, std::int64_t version,
                                                               core::Duration /*wait*/) const
    {
        const auto object = read(name);
        return object && object->version > version ? object : std::nullopt;
    }

    std::int64_t update(const std::string &name, const std::string &value, std::int64_t version) const
    {
        const auto fault = m_state.takeFault();
        if (fault == Fault::Unavailable) {
            throw core::PlatformUnavailable("down");
        }
        if (fault == Fault::RequestLost) {
            throw core::UnknownResult("request lost");
        }
        if (fault == Fault::ConcurrentWrite) {
            m_state.inConcurrentWrite = true;
            m_state.concurrentWrite();
            m_state.inConcurrentWrite = false;
        }
        auto &object = m_state.objects[name];
        if (object.version != version) {
            throw core::VersionConflict("other version");
        }
        object = {value, ++m_state.lastVersion};
        m_state.writtenValues[name].push_back(value);
        if (fault == Fault::AnswerLost) {
            throw core::UnknownResult("answer lost");
        }
        return object.version;
    }

private:
    FakeState &m_state;
};

static_assert(objects::ObjectApi<FakeObjectApi>);

/// \brief Generates lists of faults; a FakeState takes them from the back.
inline rc::Gen<std::vector<Fault>> generateFaults()
{
    return rc::gen::container<std::vector<Fault>>(rc::gen::weightedElement<Fault>({{8, Fault::None},
                                                                                   {1, Fault::Unavailable},
                                                                                   {2, Fault::AnswerLost},
                                                                                   {2, Fault::RequestLost},
                                                                                   {2, Fault::ConcurrentWrite}}));
}

} // namespace property
