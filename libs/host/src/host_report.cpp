#include "host_report.hpp"

#include <malloc.h>

#include <fstream>
#include <limits>
#include <string>

#include <base/log.hpp>

namespace cuminledge::host {

Json::Value describePeers(const net::peer_transport& transport)
{
    Json::Value peers(Json::arrayValue);
    for (const auto& counts : transport.counts()) {
        Json::Value peer(Json::objectValue);
        peer["peer"] = counts.peer;
        peer["address"] = counts.address;
        peer["incarnation"] = Json::UInt64(counts.incarnation);
        peer["links"] = Json::UInt64(counts.links);
        peer["send_queue_bytes"] = Json::UInt64(counts.sendQueueBytes);
        peer["frames_in"] = Json::UInt64(counts.framesIn);
        peer["frames_out"] = Json::UInt64(counts.framesOut);
        peer["bytes_in"] = Json::UInt64(counts.bytesIn);
        peer["bytes_out"] = Json::UInt64(counts.bytesOut);
        peer["dropped"] = Json::UInt64(counts.dropped);
        peer["silent"] = Json::UInt64(counts.silent);
        peers.append(peer);
    }
    return peers;
}

Json::Value describeListener(const net::http_server_counts& counts)
{
    Json::Value server(Json::objectValue);
    server["connections"] = Json::UInt64(counts.connections);
    server["exchanges"] = Json::UInt64(counts.exchanges);
    server["send_buffer_bytes"] = Json::UInt64(counts.sendBufferBytes);
    server["receive_bytes"] = Json::UInt64(counts.receiveBytes);
    server["refused_for_memory"] = Json::UInt64(counts.refusedForMemory);
    server["accepted"] = Json::UInt64(counts.accepted);
    server["requests"] = Json::UInt64(counts.requests);
    server["bad_requests"] = Json::UInt64(counts.badRequests);
    server["gone"] = Json::UInt64(counts.gone);
    server["slow_readers"] = Json::UInt64(counts.slowReaders);
    return server;
}

Json::Value describeClient(const net::http_client_counts& counts)
{
    Json::Value client(Json::objectValue);
    client["under_way"] = Json::UInt64(counts.underWay);
    client["pooled"] = Json::UInt64(counts.pooled);
    client["started"] = Json::UInt64(counts.started);
    client["failed"] = Json::UInt64(counts.failed);
    return client;
}

process_memory readProcessMemory()
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    process_memory memory;
    std::ifstream status("/proc/self/status");
    std::string name;
    while (status >> name) {
        if (name == "VmRSS:") {
            status >> memory.residentBytes;
        } else if (name == "VmHWM:") {
            status >> memory.peakBytes;
        }
        status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    memory.residentBytes *= bytesPerKilobyte;
    memory.peakBytes *= bytesPerKilobyte;
    const auto heap = mallinfo2();
    memory.allocatedBytes = heap.uordblks + heap.hblkhd;
    memory.unusedBytes = heap.fordblks;
    return memory;
}

void logStoppedListener(const char* listener, const net::http_server_counts& counts)
{
    logEvent(log_level::Info, "listener_stopped",
        { { "listener", listener }, { "connections", std::to_string(counts.connections) },
            { "exchanges", std::to_string(counts.exchanges) },
            { "unsent_bytes", std::to_string(counts.sendBufferBytes) },
            { "requests", std::to_string(counts.requests) },
            { "refused_for_memory", std::to_string(counts.refusedForMemory) },
            { "backlog_taken", std::to_string(counts.backlogTaken) }, { "cut_unread", std::to_string(counts.cutUnread) },
            { "cut_reading", std::to_string(counts.cutReading) },
            { "cut_answering", std::to_string(counts.cutAnswering) } });
}

} // namespace cuminledge::host
