//----------------------------------------------------------------------------------------------------------------------
// spurlug: prompts cut from the text of local files
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// \brief Text of local files that prompts are cut from.
class Corpus
{
public:
    /// \brief Reads up to a few megabytes from the regular files in some directories, recursively.
    /// \throws InvalidDocument if they hold too little text.
    explicit Corpus(const std::vector<std::string> &directories);

    /// \brief Returns a prompt.
    /// \param bytes Size of the prompt.
    /// \param randomValue Random value that selects the text and tags the prompt.
    /// \param prefix Prefix that the prompt shares with others; empty: none.
    [[nodiscard]] std::string prompt(std::size_t bytes, std::uint64_t randomValue, const std::string &prefix) const;

    /// \brief Returns a text of `bytes` bytes that depends only on the name.
    [[nodiscard]] std::string sharedPrefix(const std::string &name, std::size_t bytes) const;

private:
    std::string m_text;
};

} // namespace bench
