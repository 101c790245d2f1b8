#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <wire/codec.hpp>

namespace cuminledge::core {

/// A part of a snapshot that is written once. Later snapshots only name it, so that a large state is not written anew
/// each time.
struct snapshot_piece {
    std::uint64_t id = 0; ///< unique on the disk; never used again
    std::string data;
    MSGPACK_DEFINE(id, data)
};

/// A replicated state as one replica writes it to its disk.
struct snapshot_image {
    std::string state; ///< all that is not in a piece
    std::vector<snapshot_piece> newPieces; ///< not on the disk yet
    std::vector<std::uint64_t> pieces; ///< ids of all pieces that belong to the state; the others are deleted
};

} // namespace cuminledge::core
