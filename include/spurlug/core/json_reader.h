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
enum class OtherMembers
{
    Fault, ///< For this project's own documents: a misspelt key must be reported.
    Ignored, ///< For documents of other projects, which may add members.
};

/// \brief Reads the members of one JSON object; records each fault and continues.
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
    /// \param faults Receives the faults; must outlive the reader.
    ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<Fault> &faults,
                 OtherMembers others = OtherMembers::Fault);

    /// \brief Reads a required, non-empty string.
    [[nodiscard]] std::string text(const std::string &key);
    /// \brief Reads an optional string; one that is present must not be empty.
    [[nodiscard]] std::string text(const std::string &key, const std::string &fallback);
    /// \brief Reads a required integer from `least` to `most`.
    [[nodiscard]] std::int64_t integer(const std::string &key, std::int64_t least, std::int64_t most);
    /// \brief Reads an optional integer from `least` to `most`.
    [[nodiscard]] std::int64_t integer(const std::string &key, std::int64_t least, std::int64_t most,
                                       std::int64_t fallback);
    /// \brief Reads an optional number from `least` to `most`.
    [[nodiscard]] double number(const std::string &key, double least, double most, double fallback);
    /// \brief Reads an optional boolean.
    [[nodiscard]] bool flag(const std::string &key, bool fallback);
    /// \brief Reads an optional array of strings.
    [[nodiscard]] std::vector<std::string> texts(const std::string &key);
    /// \brief Visits each object of an optional array.
    void objects(const std::string &key, const Visit &visit);
    /// \brief Visits an optional object.
    void object(const std::string &key, const Visit &visit);
    /// \brief Records a fault for each member that was never requested, unless such members are ignored.
    void rejectOthers();
    /// \brief Records a fault at a member.
    void fault(const std::string &key, std::string expected);

    /// \brief JSON pointer of the object in its document.
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
