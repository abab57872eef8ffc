#pragma once

#include "config/configsnapshot.h"

#include <memory>

namespace oriolerill::config {

/// Read access to the configuration in force.
class IConfigView
{
public:
    virtual ~IConfigView() = default;

    /// The latest snapshot; never null, and its watermark never decreases.
    virtual std::shared_ptr<const ConfigSnapshot> snapshot() const = 0;
};

} // namespace oriolerill::config
