//----------------------------------------------------------------------------------------------------------------------
// spurlug: validating reader for JSON documents
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/core/json_reader.h"

#include "spurlug/core/text.h"

#include <utility>

namespace spurlug::core
{

ObjectReader::ObjectReader(const nlohmann::json &value, std::string pointer, std::vector<Fault> &faults,
                           OtherMembers others)
    : m_value(value)
    , m_pointer(std::move(pointer))
    , m_faults(faults)
    , m_others(others)
{
    if (!m_value.is_object()) {
        m_faults.push_back({m_pointer, "an object"});
    }
}

const nlohmann::json *ObjectReader::find(const std::string &key, bool required)
{
    m_known.insert(key);
    if (!m_value.is_object()) {
        return nullptr;
    }
    const auto found = m_value.find(key);
    if (found != m_value.end()) {
        return &*found;
    }
    if (required) {
        fault(key, "a value (it is missing)");
    }
    return nullptr;
}

std::string ObjectReader::text(const std::string &key)
{
    const auto *value = find(key, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        fault(key, "a non-empty string");
        return {};
    }
    return *value;
}

std::string ObjectReader::text(const std::string &key, const std::string &fallback)
{
    return find(key, false) == nullptr ? fallback : text(key);
}

std::int64_t ObjectReader::integer(const std::string &key, std::int64_t least, std::int64_t most)
{
    const auto *value = find(key, true);
    if (value == nullptr) {
        return least;
    }
    if (!value->is_number_integer() || *value < least || *value > most) {
        fault(key, cat("an integer from ", least, " to ", most));
        return least;
    }
    return *value;
}

std::int64_t ObjectReader::integer(const std::string &key, std::int64_t least, std::int64_t most, std::int64_t fallback)
{
    return find(key, false) == nullptr ? fallback : integer(key, least, most);
}

double ObjectReader::number(const std::string &key, double least, double most, double fallback)
{
    const auto *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number() || *value < least || *value > most) {
        fault(key, cat("a number from ", least, " to ", most));
        return fallback;
    }
    return *value;
}

bool ObjectReader::flag(const std::string &key, bool fallback)
{
    const auto *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fault(key, "true or false");
        return fallback;
    }
    return *value;
}

std::vector<std::string> ObjectReader::texts(const std::string &key)
{
    std::vector<std::string> all;
    const auto *value = find(key, false);
    if (value == nullptr) {
        return all;
    }
    if (!value->is_array()) {
        fault(key, "an array of strings");
        return all;
    }
    for (const auto &item : *value) {
        if (item.is_string()) {
            all.push_back(item);
        } else {
            fault(key, "an array of strings");
        }
    }
    return all;
}

void ObjectReader::objects(const std::string &key, const Visit &visit)
{
    const auto *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fault(key, "an array of objects");
        return;
    }
    std::size_t index = 0;
    for (const auto &item : *value) {
        ObjectReader reader(item, cat(m_pointer, "/", key, "/", index++), m_faults, m_others);
        visit(reader);
        reader.rejectOthers();
    }
}

void ObjectReader::object(const std::string &key, const Visit &visit)
{
    const auto *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, cat(m_pointer, "/", key), m_faults, m_others);
    visit(reader);
    reader.rejectOthers();
}

void ObjectReader::rejectOthers()
{
    if (!m_value.is_object() || m_others == OtherMembers::Ignored) {
        return;
    }
    for (const auto &[key, value] : m_value.items()) {
        if (!m_known.contains(key)) {
            fault(key, "nothing (the key is unknown)");
        }
    }
}

void ObjectReader::fault(const std::string &key, std::string expected)
{
    m_faults.push_back({cat(m_pointer, "/", key), std::move(expected)});
}

const std::string &ObjectReader::pointer() const noexcept
{
    return m_pointer;
}

} // namespace spurlug::core
