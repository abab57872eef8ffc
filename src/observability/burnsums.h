#pragma once

#include "domain/expected.h"
#include "domain/strongid.h"
#include "observability/burncounts.h"
#include "observability/burnwindow.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace oriolerill::observability {

struct BurnKey
{
    domain::AccountId account;
    domain::DataCentreId dataCentre;
    domain::ServiceId service;

    friend auto operator<=>(const BurnKey &, const BurnKey &) = default;
};

using WindowCounts = std::array<BurnCounts, BurnWindows.size()>;

/// Counts of each window, of one entry or summed over several.
class BurnSums
{
public:
    void add(const BurnKey &key, const WindowCounts &counts);
    void merge(const BurnSums &other);
    const std::map<BurnKey, WindowCounts> &counts() const { return m_counts; }

    std::string toJson() const;
    /// InvalidInput for text that was not written by toJson().
    static domain::Expected<BurnSums> fromJson(std::string_view text);

private:
    std::map<BurnKey, WindowCounts> m_counts;
};

} // namespace oriolerill::observability
