#include "loadreport.h"

#include <algorithm>

namespace oriolerill::standins {

namespace {

std::uint32_t percentile(const std::vector<std::uint32_t> &sorted, unsigned percent)
{
    constexpr std::size_t HundredPercent = 100;
    return sorted[std::min(sorted.size() * percent / HundredPercent, sorted.size() - 1)];
}

} // namespace

std::uint64_t LoadReport::counted(const std::string &name) const
{
    const auto it = m_counts.find(name);
    return it == m_counts.end() ? 0 : it->second;
}

void LoadReport::recordLatency(const std::string &kind, domain::Duration latency)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    const auto value = static_cast<std::uint32_t>(micros);
    m_latencies["us_" + m_phase].push_back(value);
    m_latencies["us_" + kind + '_' + m_phase].push_back(value);
}

std::string LoadReport::line() const
{
    constexpr unsigned Median = 50;
    constexpr unsigned Tail = 99;
    std::string text;
    for (const auto &[name, count] : m_counts)
        text += name + '=' + std::to_string(count) + ' ';
    for (const auto &[name, latencies] : m_latencies) {
        Latencies sorted = latencies;
        std::sort(sorted.begin(), sorted.end());
        text += "p50_" + name + '=' + std::to_string(percentile(sorted, Median)) + ' ';
        text += "p99_" + name + '=' + std::to_string(percentile(sorted, Tail)) + ' ';
    }
    if (!text.empty())
        text.pop_back();
    return text;
}

} // namespace oriolerill::standins
