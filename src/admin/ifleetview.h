#pragma once

#include "domain/configversion.h"
#include "domain/strongid.h"
#include "domain/timepoint.h"

#include <vector>

namespace oriolerill::admin {

struct EntryWatermark
{
    domain::EntryId entry;
    domain::DataCentreId dataCentre;
    /// Version up to which the entry has all changes in force.
    domain::ConfigVersion watermark;
    /// Time since the entry reported it.
    domain::Duration age = {};
};

/// Configuration versions in force at all entries, as reported to this one.
class IFleetView
{
public:
    virtual ~IFleetView() = default;

    /// Every known entry, this one included.
    virtual std::vector<EntryWatermark> watermarks() const = 0;
};

} // namespace oriolerill::admin
