#include "observability/burnsums.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>
#include <boost/system/system_error.hpp>

#include <stdexcept>

namespace oriolerill::observability {

namespace json = boost::json;

namespace {

json::object toObject(const BurnCounts &counts)
{
    return {{"answered", counts.answered}, {"late", counts.late}, {"refused", counts.refused},
            {"cut", counts.cut}, {"unknown", counts.unknown}};
}

BurnCounts toCounts(const json::object &object)
{
    const auto number
            = [&](const char *name) { return json::value_to<std::uint64_t>(object.at(name)); };
    return {number("answered"), number("late"), number("refused"), number("cut"),
            number("unknown")};
}

template<class Id>
Id toId(const json::object &object, const char *name)
{
    return Id(json::value_to<std::string>(object.at(name)));
}

BurnSums toSums(const json::value &document)
{
    BurnSums sums;
    for (const json::value &value : document.as_object().at("keys").as_array()) {
        const json::object &line = value.as_object();
        const BurnKey key = {toId<domain::AccountId>(line, "account"),
                toId<domain::DataCentreId>(line, "dataCentre"),
                toId<domain::ServiceId>(line, "service")};
        WindowCounts counts;
        const json::object &windows = line.at("windows").as_object();
        for (std::size_t i = 0; i < BurnWindows.size(); ++i)
            counts[i] = toCounts(windows.at(BurnWindows[i].name).as_object());
        sums.add(key, counts);
    }
    return sums;
}

} // namespace

void BurnSums::add(const BurnKey &key, const WindowCounts &counts)
{
    WindowCounts &totals = m_counts[key];
    for (std::size_t i = 0; i < totals.size(); ++i)
        totals[i] += counts[i];
}

void BurnSums::merge(const BurnSums &other)
{
    for (const auto &[key, counts] : other.m_counts)
        add(key, counts);
}

std::string BurnSums::toJson() const
{
    json::array keys;
    for (const auto &[key, counts] : m_counts) {
        json::object windows;
        for (std::size_t i = 0; i < BurnWindows.size(); ++i)
            windows[BurnWindows[i].name] = toObject(counts[i]);
        keys.push_back({{"account", key.account.value()}, {"dataCentre", key.dataCentre.value()},
                {"service", key.service.value()}, {"windows", std::move(windows)}});
    }
    return json::serialize(json::object{{"keys", std::move(keys)}});
}

domain::Expected<BurnSums> BurnSums::fromJson(std::string_view text)
{
    try {
        return toSums(json::parse(json::string_view(text.data(), text.size())));
    } catch (const std::exception &error) {
        return domain::Error{domain::ErrorKind::InvalidInput,
                std::string("the counters cannot be read: ") + error.what(),
                "ask an entry of the same version for /v1/report?format=counters"};
    }
}

} // namespace oriolerill::observability
