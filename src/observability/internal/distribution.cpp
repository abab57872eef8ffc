#include "observability/distribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace oriolerill::observability {

namespace accumulators = boost::accumulators;
namespace tag = accumulators::tag;

namespace {

constexpr auto WindowLength = std::chrono::seconds(60);
// P-square is inaccurate until its markers have converged, so quantiles of up to this many samples
// are computed exactly.
constexpr std::size_t ExactSamples = 200;
constexpr std::array<double, 3> Probabilities = {0.5, 0.95, 0.99};

using Statistics = accumulators::accumulator_set<double,
        accumulators::stats<tag::count, tag::mean, tag::max, tag::extended_p_square>>;

/// The smallest sample that at least the given share of the samples does not exceed.
double exactQuantile(const std::vector<double> &sorted, double probability)
{
    const auto rank = std::ceil(probability * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

class Distribution::Window
{
public:
    Window()
        : m_statistics(tag::extended_p_square::probabilities = Probabilities)
    {
        m_firstSamples.reserve(ExactSamples);
    }

    void add(double value)
    {
        m_statistics(value);
        if (m_firstSamples.size() < ExactSamples)
            m_firstSamples.push_back(value);
    }
    std::size_t count() const { return accumulators::count(m_statistics); }
    double mean() const { return count() == 0 ? 0.0 : accumulators::mean(m_statistics); }
    double max() const { return count() == 0 ? 0.0 : accumulators::max(m_statistics); }
    std::array<double, 3> quantiles() const
    {
        std::array<double, 3> values = {};
        if (count() == 0)
            return values;
        std::vector<double> sorted = m_firstSamples;
        std::sort(sorted.begin(), sorted.end());
        for (std::size_t i = 0; i < values.size(); ++i) {
            values[i] = count() <= ExactSamples ? exactQuantile(sorted, Probabilities[i])
                                                : accumulators::extended_p_square(m_statistics)[i];
        }
        return values;
    }

private:
    Statistics m_statistics;
    std::vector<double> m_firstSamples;
};

Distribution::Distribution(domain::TimePoint now)
    : m_windowStart(now)
    , m_current(std::make_unique<Window>())
    , m_previous(std::make_unique<Window>())
{}

Distribution::~Distribution() = default;
Distribution::Distribution(Distribution &&) noexcept = default;
Distribution &Distribution::operator=(Distribution &&) noexcept = default;

void Distribution::add(double value, domain::TimePoint now)
{
    rotate(now);
    ++m_count;
    m_sum += value;
    m_current->add(value);
}

void Distribution::rotate(domain::TimePoint now)
{
    const auto age = now - m_windowStart;
    if (age < WindowLength)
        return;
    m_previous = age < 2 * WindowLength ? std::move(m_current) : std::make_unique<Window>();
    m_current = std::make_unique<Window>();
    m_windowStart = now;
}

DistributionSummary Distribution::summary(domain::TimePoint now) const
{
    DistributionSummary summary;
    summary.count = m_count;
    summary.sum = m_sum;
    const auto age = now - m_windowStart;
    if (age >= 2 * WindowLength)
        return summary;
    const bool hasPrevious = age < WindowLength && m_previous->count() > 0;
    const auto current = static_cast<double>(m_current->count());
    const auto previous = hasPrevious ? static_cast<double>(m_previous->count()) : 0.0;
    const double total = current + previous;
    if (total == 0.0)
        return summary;
    summary.mean = (m_current->mean() * current + m_previous->mean() * previous) / total;
    summary.max = std::max(m_current->max(), hasPrevious ? m_previous->max() : m_current->max());
    // The window with more samples gives the better estimate; estimates cannot be merged.
    const auto quantiles = previous > current ? m_previous->quantiles() : m_current->quantiles();
    summary.p50 = quantiles[0];
    summary.p95 = quantiles[1];
    summary.p99 = quantiles[2];
    return summary;
}

} // namespace oriolerill::observability
