//----------------------------------------------------------------------------------------------------------------------
// spurlug: validating reader for JSON documents
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/json_reader.h"

#include "spurlug/core/text.h"

#include <limits>
#include <utility>

namespace spurlug::core
{

ObjectReader::ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<Fault> &faults,
                           UnknownMembers unknownMembers)
    : m_value(value)
    , m_pointer(std::move(pointer))
    , m_faults(faults)
    , m_unknownMembers(unknownMembers)
{
    if (!m_value.is_object()) {
        m_faults.push_back({m_pointer, "an object"});
    }
}

const nlohmann::json *ObjectReader::findMember(const std::string &key, bool required)
{
    m_requestedKeys.insert(key);
    if (!m_value.is_object()) {
        return nullptr;
    }
    const auto member = m_value.find(key);
    if (member != m_value.end()) {
        return &*member;
    }
    if (required) {
        addFault(key, "a value (it is missing)");
    }
    return nullptr;
}

std::string ObjectReader::string(const std::string &key)
{
    const auto *value = findMember(key, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        addFault(key, "a non-empty string");
        return {};
    }
    return *value;
}

std::string ObjectReader::string(const std::string &key, const std::string &defaultValue)
{
    return findMember(key, false) == nullptr ? defaultValue : string(key);
}

std::int64_t ObjectReader::integer(const std::string &key, std::int64_t min, std::int64_t max)
{
    const auto *value = findMember(key, true);
    if (value == nullptr) {
        return min;
    }
    // Comparisons convert an unsigned value to a signed one, so that a large value becomes negative.
    const bool isTooLarge = value->is_number_unsigned()
        && value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value->is_number_integer() || isTooLarge || *value < min || *value > max) {
        addFault(key, cat("an integer from ", min, " to ", max));
        return min;
    }
    return *value;
}

std::int64_t ObjectReader::integer(const std::string &key, std::int64_t min, std::int64_t max,
                                   std::int64_t defaultValue)
{
    return findMember(key, false) == nullptr ? defaultValue : integer(key, min, max);
}

double ObjectReader::number(const std::string &key, double min, double max, double defaultValue)
{
    const auto *value = findMember(key, false);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_number() || *value < min || *value > max) {
        addFault(key, cat("a number from ", min, " to ", max));
        return defaultValue;
    }
    return *value;
}

bool ObjectReader::boolean(const std::string &key, bool defaultValue)
{
    const auto *value = findMember(key, false);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_boolean()) {
        addFault(key, "true or false");
        return defaultValue;
    }
    return *value;
}

std::vector<std::string> ObjectReader::strings(const std::string &key)
{
    std::vector<std::string> values;
    const auto *value = findMember(key, false);
    if (value == nullptr) {
        return values;
    }
    if (!value->is_array()) {
        addFault(key, "an array of strings");
        return values;
    }
    for (const auto &item : *value) {
        if (item.is_string()) {
            values.push_back(item);
        } else {
            addFault(key, "an array of strings");
        }
    }
    return values;
}

void ObjectReader::forEachObject(const std::string &key, const Visitor &visitor)
{
    const auto *value = findMember(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        addFault(key, "an array of objects");
        return;
    }
    std::size_t index = 0;
    for (const auto &item : *value) {
        ObjectReader reader(item, cat(m_pointer, "/", key, "/", index++), m_faults, m_unknownMembers);
        visitor(reader);
        reader.rejectUnknownMembers();
    }
}

void ObjectReader::visitObject(const std::string &key, const Visitor &visitor)
{
    const auto *value = findMember(key, false);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, cat(m_pointer, "/", key), m_faults, m_unknownMembers);
    visitor(reader);
    reader.rejectUnknownMembers();
}

void ObjectReader::rejectUnknownMembers()
{
    if (!m_value.is_object() || m_unknownMembers == UnknownMembers::Accepted) {
        return;
    }
    for (const auto &[key, value] : m_value.items()) {
        if (!m_requestedKeys.contains(key)) {
            addFault(key, "nothing (the key is unknown)");
        }
    }
}

void ObjectReader::addFault(const std::string &key, std::string expected)
{
    m_faults.push_back({cat(m_pointer, "/", key), std::move(expected)});
}

const std::string &ObjectReader::pointer() const noexcept
{
    return m_pointer;
}

} // namespace spurlug::core
