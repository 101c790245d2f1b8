#include "naive_map.hpp"

#include <map>

#include <storage/posix_files.hpp>

namespace cuminledge::bench {

commit_figures runNaiveMap(const std::string& folder, std::chrono::milliseconds span, std::size_t payloadBytes)
{
    storage::posix_files files;
    files.createFolder(folder).value();
    auto file = files.openAppend(folder + "/log").value();
    std::map<std::string, std::string> state;
    commit_figures figures;
    const std::string payload(payloadBytes, 'x');
    const auto start = steady_clock::now();
    while (steady_clock::now() - start < span) {
        const auto sentAt = steady_clock::now();
        file->append(payload).value();
        file->sync().value();
        state["key" + std::to_string(figures.commits % 1000)] = payload;
        ++figures.commits;
        figures.latencies.emplace_back(steady_clock::now() - sentAt);
    }
    figures.elapsed = steady_clock::now() - start;
    return figures;
}

} // namespace cuminledge::bench
