#pragma once

#include "domain/expected.h"
#include "protocol/control.pb.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::requests {

/// Largest piece of answer data in one frame, in bytes.
constexpr std::size_t MaxFrameData = 64U << 10U;
/// Largest encoded frame, in bytes: the data and a head with its fields.
constexpr std::size_t MaxFrameSize = 256U << 10U;

/// A frame behind its 4-byte big-endian length.
std::string encodeFrame(const protocol::AttemptFrame &frame);

/// Restores frames from a byte stream that is split at any positions.
class AttemptFrameDecoder
{
public:
    explicit AttemptFrameDecoder(std::size_t maxFrame = MaxFrameSize);

    /// The frames completed by these bytes; Corrupted when a frame is malformed or too large, after
    /// which the stream cannot be used any more.
    domain::Expected<std::vector<protocol::AttemptFrame>> feed(std::string_view bytes);
    /// True when the stream ended between two frames.
    bool isAtBoundary() const { return m_pending.empty(); }

private:
    std::size_t m_maxFrame;
    std::string m_pending;
};

} // namespace oriolerill::requests
