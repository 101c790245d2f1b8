#pragma once

#include <cstddef>

#include <json/value.h>

#include <net/http_client.hpp>
#include <net/http_server.hpp>
#include <net/peer_transport.hpp>

/// What a process's sockets add to its state dump and its log.
namespace cuminledge::host {

/// @return one object for each process that this one is connected to, or tries to reach.
Json::Value describePeers(const net::peer_transport& transport);

Json::Value describeListener(const net::http_server_counts& counts);

Json::Value describeClient(const net::http_client_counts& counts);

/// The memory of this process, in bytes.
struct process_memory {
    std::size_t residentBytes = 0;
    std::size_t peakBytes = 0; ///< the most that was resident so far
    std::size_t allocatedBytes = 0; ///< handed out by the allocator and not freed
    std::size_t unusedBytes = 0; ///< freed, but kept by the allocator
};

process_memory readProcessMemory();

/// Logs what a listener had left and cut when its process stopped.
void logStoppedListener(const char* listener, const net::http_server_counts& counts);

} // namespace cuminledge::host
