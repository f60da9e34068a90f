//----------------------------------------------------------------------------------------------------------------------
// spurlug: validating reader for JSON documents
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

/// \brief A validation error in a document.
struct Fault
{
    std::string pointer; ///< JSON pointer of the value, such as `/pools/0/name`.
    std::string expected; ///< Description of a valid value.
};

/// \brief How a reader treats members that were never requested, in its object and in nested ones.
enum class UnknownMembers
{
    Rejected, ///< For this project's own documents: a misspelt key must be reported.
    Accepted, ///< For documents of other projects, which may add members.
};

/// \brief Reads the members of one JSON object; records each fault and continues.
///
/// \code
/// std::vector<Fault> faults;
/// ObjectReader reader(document, "", faults);
/// const auto name = reader.text("name");
/// const auto port = reader.integer("port", 1, 65535, 8080);
/// reader.rejectUnknownMembers();
/// \endcode
class ObjectReader
{
public:
    using Visitor = std::function<void(ObjectReader &)>;

    /// \param pointer JSON pointer of `value` in its document.
    /// \param faults Receives the faults; must outlive the reader.
    ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<Fault> &faults,
                 UnknownMembers unknownMembers = UnknownMembers::Rejected);

    /// \brief Reads a required, non-empty string.
    [[nodiscard]] std::string string(const std::string &key);
    /// \brief Reads an optional string; one that is present must not be empty.
    [[nodiscard]] std::string string(const std::string &key, const std::string &defaultValue);
    /// \brief Reads a required integer from `least` to `most`.
    [[nodiscard]] std::int64_t integer(const std::string &key, std::int64_t min, std::int64_t max);
    /// \brief Reads an optional integer from `least` to `most`.
    [[nodiscard]] std::int64_t integer(const std::string &key, std::int64_t min, std::int64_t max,
                                       std::int64_t defaultValue);
    /// \brief Reads an optional number from `least` to `most`.
    [[nodiscard]] double number(const std::string &key, double min, double max, double defaultValue);
    /// \brief Reads an optional boolean.
    [[nodiscard]] bool boolean(const std::string &key, bool defaultValue);
    /// \brief Reads an optional array of strings.
    [[nodiscard]] std::vector<std::string> strings(const std::string &key);
    /// \brief Visits each object of an optional array.
    void forEachObject(const std::string &key, const Visitor &visitor);
    /// \brief Visits an optional object.
    void visitObject(const std::string &key, const Visitor &visitor);
    /// \brief Records a fault for each member that was never requested, unless such members are ignored.
    void rejectUnknownMembers();
    /// \brief Records a fault at a member.
    void addFault(const std::string &key, std::string expected);

    /// \brief JSON pointer of the object in its document.
    [[nodiscard]] const std::string &pointer() const noexcept;

private:
    [[nodiscard]] const nlohmann::json *findMember(const std::string &key, bool required);

    const nlohmann::json &m_value;
    std::string m_pointer;
    std::vector<Fault> &m_faults;
    UnknownMembers m_unknownMembers;
    std::set<std::string> m_requestedKeys;
};

} // namespace spurlug::core
