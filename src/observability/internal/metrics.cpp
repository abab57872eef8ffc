#include "observability/metrics.h"

#include <array>
#include <charconv>
#include <utility>

namespace oriolerill::observability {

namespace {

void appendNumber(std::string &text, double value)
{
    std::array<char, 32> buffer = {};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    text.append(buffer.data(), result.ptr);
}

void appendEscaped(std::string &text, std::string_view value)
{
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            text += '\\';
        text += c;
    }
}

void appendSample(std::string &text, const std::string &name, const std::string &labels,
        const std::string &more, double value)
{
    text += name;
    const std::string separator = labels.empty() || more.empty() ? "" : ",";
    if (!labels.empty() || !more.empty())
        text += '{' + labels + separator + more + '}';
    text += ' ';
    appendNumber(text, value);
    text += '\n';
}

void appendType(std::string &text, std::string &last, const std::string &name, const char *type)
{
    if (name == last)
        return;
    last = name;
    text += "# TYPE " + name + ' ' + type + '\n';
}

template<class Series>
void appendSeries(std::string &text, const Series &series, const char *type)
{
    std::string last;
    for (const auto &[key, value] : series) {
        appendType(text, last, key.name, type);
        appendSample(text, key.name, key.labels, {}, static_cast<double>(value));
    }
}

} // namespace

Metrics::Metrics(Clock clock, std::size_t maxSeries)
    : m_clock(std::move(clock))
    , m_maxSeries(maxSeries)
{}

Metrics::SeriesKey Metrics::keyOf(std::string_view name, MetricLabels labels)
{
    SeriesKey key;
    key.name = name;
    for (const MetricLabel &label : labels) {
        if (!key.labels.empty())
            key.labels += ',';
        key.labels += label.name;
        key.labels += "=\"";
        appendEscaped(key.labels, label.value);
        key.labels += '"';
    }
    return key;
}

template<class Series>
bool Metrics::accepts(const Series &series, const SeriesKey &key)
{
    const std::size_t count = m_counters.size() + m_gauges.size() + m_distributions.size();
    if (count < m_maxSeries || series.contains(key))
        return true;
    ++m_dropped;
    return false;
}

void Metrics::increment(std::string_view name, MetricLabels labels, std::uint64_t by)
{
    SeriesKey key = keyOf(name, labels);
    const std::scoped_lock lock(m_mutex);
    if (accepts(m_counters, key))
        m_counters[std::move(key)] += by;
}

void Metrics::set(std::string_view name, double value, MetricLabels labels)
{
    SeriesKey key = keyOf(name, labels);
    const std::scoped_lock lock(m_mutex);
    if (accepts(m_gauges, key))
        m_gauges[std::move(key)] = value;
}

void Metrics::observe(std::string_view name, double value, MetricLabels labels)
{
    SeriesKey key = keyOf(name, labels);
    const domain::TimePoint now = m_clock();
    const std::scoped_lock lock(m_mutex);
    if (accepts(m_distributions, key))
        m_distributions.try_emplace(std::move(key), now).first->second.add(value, now);
}

std::uint64_t Metrics::counter(std::string_view name, MetricLabels labels) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_counters.find(keyOf(name, labels));
    return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::exposition() const
{
    const domain::TimePoint now = m_clock();
    std::string text;
    const std::scoped_lock lock(m_mutex);
    appendSeries(text, m_counters, "counter");
    appendSeries(text, m_gauges, "gauge");
    writeDistributions(text, now);
    text += "# TYPE oriolerill_metrics_dropped_total counter\n";
    appendSample(text, "oriolerill_metrics_dropped_total", {}, {}, static_cast<double>(m_dropped));
    return text;
}

void Metrics::writeDistributions(std::string &text, domain::TimePoint now) const
{
    std::string last;
    for (const auto &[key, distribution] : m_distributions) {
        const DistributionSummary summary = distribution.summary(now);
        appendType(text, last, key.name, "summary");
        appendSample(text, key.name, key.labels, "quantile=\"0.5\"", summary.p50);
        appendSample(text, key.name, key.labels, "quantile=\"0.95\"", summary.p95);
        appendSample(text, key.name, key.labels, "quantile=\"0.99\"", summary.p99);
        appendSample(text, key.name + "_sum", key.labels, {}, summary.sum);
        appendSample(text, key.name + "_count", key.labels, {}, static_cast<double>(summary.count));
    }
    // Prometheus summaries have no mean and maximum, so these are separate series.
    for (const auto &[key, distribution] : m_distributions) {
        const DistributionSummary summary = distribution.summary(now);
        appendSample(text, key.name + "_recent_mean", key.labels, {}, summary.mean);
        appendSample(text, key.name + "_recent_max", key.labels, {}, summary.max);
    }
}

} // namespace oriolerill::observability
