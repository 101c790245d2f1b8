#pragma once

#include <string>

namespace cuminledge {

/// Empties the text and frees its memory. Assigning an empty text would keep the capacity.
inline void freeBuffer(std::string& text)
{
    std::string().swap(text);
}

} // namespace cuminledge
