#include "report.hpp"

#include "statistics.hpp"

#include <fmt/format.h>

#include <cmath>
#include <fstream>
#include <map>

namespace cuminledge::bench {

namespace {

    constexpr double plotWidth = 640;
    constexpr double plotHeight = 240;
    constexpr double margin = 40;

    std::string escaped(const std::string& text)
    {
        std::string out;
        for (const char c : text) {
            switch (c) {
            case '<':
                out += "&lt;";
                break;
            case '>':
                out += "&gt;";
                break;
            case '&':
                out += "&amp;";
                break;
            default:
                out += c;
            }
        }
        return out;
    }

    void writeTable(std::ostream& out, const std::vector<const figure*>& figures)
    {
        out << "<table><tr><th>variant</th><th>metric</th><th>median</th><th>lowest</th><th>highest</th><th>unit</th>"
               "<th>baseline</th><th>ratio</th><th>target</th></tr>\n";
        for (const auto* f : figures) {
            const auto variant = f->workload.substr(f->workload.rfind('/') + 1);
            const bool hasRatio = f->hasBaseline && std::abs(f->baseline) > 0;
            const std::string ratio = hasRatio ? fmt::format("{:.3f}", f->value / f->baseline) : "";
            const std::string target = f->hasTarget ? escaped(f->target) + (f->met ? " met" : " missed") : "";
            out << fmt::format("<tr{}><td>{}</td><td>{}</td><td>{:.5g}</td><td>{:.5g}</td><td>{:.5g}</td><td>{}</td>"
                               "<td>{}</td><td>{}</td><td>{}</td></tr>\n",
                f->hasTarget && !f->met ? " class=\"missed\"" : "", escaped(variant), escaped(f->metric), f->value,
                f->low, f->high, escaped(f->unit), f->hasBaseline ? fmt::format("{:.5g}", f->baseline) : "", ratio,
                target);
        }
        out << "</table>\n";
    }

    const char* colourOf(const std::string& variant)
    {
        static const std::map<std::string, const char*> colours { { "ours", "#0a6" }, { "fcfs_round_robin", "#c33" },
            { "fcfs_cache_affinity", "#36c" }, { "least_loaded", "#a60" } };
        const auto found = colours.find(variant);
        return found == colours.end() ? "#888" : found->second;
    }

    std::string curveOf(const latency_series& s, double longest)
    {
        constexpr int points = 100;
        std::string path;
        for (int i = 0; i <= points; ++i) {
            const double share = static_cast<double>(i) / points;
            const double x = margin + quantile(s.seconds, share) / longest * (plotWidth - 2 * margin);
            const double y = plotHeight - margin - share * (plotHeight - 2 * margin);
            path += fmt::format("{}{:.1f} {:.1f}", i == 0 ? "M" : " L", x, y);
        }
        return path;
    }

    /// Cumulative distribution of program latency, a curve for each variant.
    void writePlot(std::ostream& out, const std::vector<const latency_series*>& series)
    {
        double longest = 1;
        for (const auto* s : series) {
            longest = std::max(longest, quantile(s->seconds, 0.99));
        }
        out << fmt::format("<svg width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\">\n", plotWidth, plotHeight);
        out << fmt::format("<rect x=\"{0}\" y=\"{0}\" width=\"{1}\" height=\"{2}\" fill=\"none\" stroke=\"#999\"/>\n",
            margin, plotWidth - 2 * margin, plotHeight - 2 * margin);
        constexpr int marks = 5;
        for (int i = 0; i <= marks; ++i) {
            const double x = margin + i * (plotWidth - 2 * margin) / marks;
            out << fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\">{:.0f} s</text>\n", x - 12, plotHeight - margin + 16,
                longest * i / marks);
        }
        double legend = margin + 14;
        for (const auto* s : series) {
            out << fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"2\" clip-path=\"inset(0)\"/>\n",
                curveOf(*s, longest), colourOf(s->variant));
            out << fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" fill=\"{}\">{}</text>\n", plotWidth - margin - 150,
                legend + 60, colourOf(s->variant), escaped(s->variant));
            legend += 14;
        }
        out << "</svg>\n";
    }

} // namespace

void writeReport(
    const std::string& path, const std::vector<figure>& figures, const std::vector<latency_series>& series)
{
    std::map<std::string, std::vector<const figure*>> tables;
    for (const auto& f : figures) {
        tables[f.workload.substr(0, f.workload.rfind('/'))].push_back(&f);
    }
    std::map<std::string, std::vector<const latency_series*>> plots;
    for (const auto& s : series) {
        plots[s.workload].push_back(&s);
    }
    std::ofstream out(path);
    out << "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>bench policy</title><style>"
           "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;"
           "padding:2px 6px;text-align:left}svg text{font:11px sans-serif}.missed{background:#fdd}"
           "</style></head><body><h1>bench policy</h1>\n";
    for (const auto& [name, rows] : tables) {
        out << "<h2>" << escaped(name) << "</h2>\n";
        if (plots.count(name) > 0) {
            out << "<p>Program latency, cumulative share from 0 (bottom) to 1 (top)</p>\n";
            writePlot(out, plots.at(name));
        }
        writeTable(out, rows);
    }
    out << "</body></html>\n";
}

} // namespace cuminledge::bench
