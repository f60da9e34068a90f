//----------------------------------------------------------------------------------------------------------------------
// spurlug: real text for prompts
// SPDX-License-Identifier: MIT
//----------------------------------------------------------------------------------------------------------------------
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// \brief Text from files of this machine, cut into prompts.
class Corpus
{
public:
    /// \brief Reads up to a few megabytes from the regular files below some directories.
    /// \throws InvalidDocument when there is too little text.
    explicit Corpus(const std::vector<std::string> &directories);

    /// \brief A prompt.
    /// \param bytes Its size.
    /// \param draw Chooses the text.
    /// \param prefix Beginning that the prompt shares with others; empty: none.
    [[nodiscard]] std::string prompt(std::size_t bytes, std::uint64_t draw, const std::string &prefix) const;

    /// \brief A text of `bytes` that is the same for the same name.
    [[nodiscard]] std::string sharedPrefix(const std::string &name, std::size_t bytes) const;

private:
    std::string m_text;
};

} // namespace bench
