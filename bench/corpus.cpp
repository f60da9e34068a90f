//----------------------------------------------------------------------------------------------------------------------
// spurlug: prompts cut from the text of local files
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------

#include "corpus.h"

#include "spurlug/core/error.h"
#include "spurlug/core/hash.h"
#include "spurlug/core/text.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace bench
{

namespace
{

constexpr std::size_t MaxCorpusBytes = 8U << 20;
constexpr std::size_t MinCorpusBytes = 16U << 10;
constexpr std::size_t MaxBytesPerFile = 256U << 10;

/// Appends only printable ASCII and line feeds, so that each byte is one character in JSON as well.
void appendPrintable(std::string &text, const std::string &bytes)
{
    std::copy_if(bytes.begin(), bytes.end(), std::back_inserter(text),
                 [](unsigned char byte) { return byte == '\n' || (byte >= ' ' && byte < 127); });
}

std::vector<std::filesystem::path> listFiles(const std::string &directory)
{
    std::vector<std::filesystem::path> files;
    const auto options = std::filesystem::directory_options::skip_permission_denied;
    std::error_code error;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(directory, options, error)) {
        if (entry.is_regular_file(error) && !error) {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

Corpus::Corpus(const std::vector<std::string> &directories)
{
    for (const auto &directory : directories) {
        for (const auto &path : listFiles(directory)) {
            if (m_text.size() >= MaxCorpusBytes) {
                return;
            }
            std::ifstream file(path, std::ios::binary);
            std::string bytes(MaxBytesPerFile, '\0');
            file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
            bytes.resize(static_cast<std::size_t>(file.gcount()));
            appendPrintable(m_text, bytes);
        }
    }
    if (m_text.size() < MinCorpusBytes) {
        throw spurlug::core::InvalidDocument("the given directories hold too little text for prompts");
    }
}

std::string Corpus::prompt(std::size_t bytes, std::uint64_t randomValue, const std::string &prefix) const
{
    std::string text = prefix.substr(0, bytes);
    spurlug::core::append(text, "[", randomValue, "] ");
    auto start = randomValue % m_text.size();
    while (text.size() < bytes) {
        const auto chunkBytes = std::min(bytes - text.size(), m_text.size() - start);
        text.append(m_text, start, chunkBytes);
        start = 0;
    }
    text.resize(bytes);
    return text;
}

std::string Corpus::sharedPrefix(const std::string &name, std::size_t bytes) const
{
    const auto start = spurlug::core::fastHash(name) % (m_text.size() - std::min(bytes, m_text.size() - 1));
    return m_text.substr(start, bytes);
}

} // namespace bench
