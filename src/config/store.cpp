//----------------------------------------------------------------------------------------------------------------------
// spurlug: the active configuration of this daemon
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "spurlug/config/store.h"

#include "spurlug/core/error.h"
#include "spurlug/core/text.h"

#include <utility>

namespace spurlug::config
{

Store::Store(OnApplied onApplied)
    : m_onApplied(std::move(onApplied))
{ }

OfferResult Store::offer(const std::string &rootText, PartTexts texts)
{
    absl::MutexLock lock(&m_mutex);
    std::int64_t generation = 0;
    try {
        const auto root = parseRoot(rootText);
        generation = root.generation;
        if (m_current && generation <= m_current->generation) {
            return OfferResult::NotNewer;
        }
        PartTexts activeTexts;
        for (const auto &[name, hash] : root.parts) {
            auto &source = texts.contains(hash) ? texts : m_texts;
            const auto found = source.find(hash);
            if (found != source.end()) {
                activeTexts[hash] = found->second;
            }
        }
        std::vector<core::Fault> faults;
        auto next = parseConfiguration(joinDocument(root, activeTexts), generation, faults);
        if (!faults.empty()) {
            recordRefusal(generation, core::cat(faults.front().pointer, ": expected ", faults.front().expected));
            return OfferResult::Refused;
        }
        m_current = std::move(next);
        m_rootText = rootText;
        m_texts = std::move(activeTexts);
        m_onApplied(m_current);
        return OfferResult::Applied;
    } catch (const core::InvalidDocument &error) {
        recordRefusal(generation, error.what());
        return OfferResult::Refused;
    }
}

void Store::recordRefusal(std::int64_t generation, std::string reason)
{
    m_refusedGeneration = std::max(m_refusedGeneration, generation);
    m_refusal = std::move(reason);
}

ConfigurationRef Store::current() const
{
    absl::MutexLock lock(&m_mutex);
    return m_current;
}

std::int64_t Store::generation() const
{
    absl::MutexLock lock(&m_mutex);
    return m_current ? m_current->generation : 0;
}

std::int64_t Store::refusedGeneration() const
{
    absl::MutexLock lock(&m_mutex);
    return m_refusedGeneration;
}

std::string Store::refusal() const
{
    absl::MutexLock lock(&m_mutex);
    return m_refusal;
}

std::string Store::rootText() const
{
    absl::MutexLock lock(&m_mutex);
    return m_rootText;
}

PartTexts Store::texts(const std::vector<std::string> &hashes) const
{
    absl::MutexLock lock(&m_mutex);
    PartTexts found;
    for (const auto &hash : hashes) {
        const auto text = m_texts.find(hash);
        if (text != m_texts.end()) {
            found[hash] = text->second;
        }
    }
    return found;
}

std::vector<std::string> Store::missingParts(const Root &root) const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<std::string> missing;
    for (const auto &[name, hash] : root.parts) {
        if (!m_texts.contains(hash)) {
            missing.push_back(hash);
        }
    }
    return missing;
}

} // namespace spurlug::config
