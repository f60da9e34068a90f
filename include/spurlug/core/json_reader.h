//----------------------------------------------------------------------------------------------------------------------
// spurlug: checked reading of JSON documents
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace spurlug::core
{

/// \brief One thing that is wrong in a document.
struct Fault
{
    std::string pointer; ///< JSON pointer of the value, such as `/pools/0/name`.
    std::string expected; ///< What should stand there.
};

/// \brief What a reader makes of members that it was never asked for, its own and those of objects within.
enum class OtherMembers
{
    Fault, ///< In documents of ours: a misspelt key must not be passed over.
    Ignored, ///< In documents of others, who may add members.
};

/// \brief Reads the members of one JSON object, notes each fault and goes on.
///
/// \code
/// std::vector<Fault> faults;
/// ObjectReader reader(document, "", faults);
/// const auto name = reader.text("name");
/// const auto port = reader.integer("port", 1, 65535, 8080);
/// reader.rejectOthers();
/// \endcode
class ObjectReader
{
public:
    using Visit = std::function<void(ObjectReader &)>;

    /// \param pointer JSON pointer of `value` in its document.
    /// \param faults Where faults are noted; outlives the reader.
    ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<Fault> &faults,
                 OtherMembers others = OtherMembers::Fault);

    /// \brief A non-empty string that must be there.
    [[nodiscard]] std::string text(const std::string &key);
    /// \brief A string that may be missing.
    [[nodiscard]] std::string text(const std::string &key, const std::string &fallback);
    /// \brief An integer that must be there, within `least` to `most`.
    [[nodiscard]] std::int64_t integer(const std::string &key, std::int64_t least, std::int64_t most);
    /// \brief An integer that may be missing.
    [[nodiscard]] std::int64_t integer(const std::string &key, std::int64_t least, std::int64_t most,
                                       std::int64_t fallback);
    /// \brief A number within `least` to `most` that may be missing.
    [[nodiscard]] double number(const std::string &key, double least, double most, double fallback);
    /// \brief A truth value that may be missing.
    [[nodiscard]] bool flag(const std::string &key, bool fallback);
    /// \brief An array of strings that may be missing.
    [[nodiscard]] std::vector<std::string> texts(const std::string &key);
    /// \brief Visits each object of an array that may be missing.
    void objects(const std::string &key, const Visit &visit);
    /// \brief Visits an object that may be missing.
    void object(const std::string &key, const Visit &visit);
    /// \brief Notes a fault for each member that was never asked for, unless these are ignored.
    void rejectOthers();
    /// \brief Notes a fault at a member.
    void fault(const std::string &key, std::string expected);

    [[nodiscard]] const std::string &pointer() const noexcept;

private:
    [[nodiscard]] const nlohmann::json *find(const std::string &key, bool required);

    const nlohmann::json &m_value;
    std::string m_pointer;
    std::vector<Fault> &m_faults;
    OtherMembers m_others;
    std::set<std::string> m_known;
};

} // namespace spurlug::core
