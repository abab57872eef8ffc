#pragma once

#include "domain/expected.h"
#include "protocol/control.pb.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oriolerill::requests {

/// Maximum answer data in one frame, in bytes.
constexpr std::size_t MaxFrameData = 64U << 10U;
/// Maximum size of an encoded frame, in bytes: the data, or a head with its fields.
constexpr std::size_t MaxFrameSize = 256U << 10U;

/// Encodes a frame with its length before it, as 4 bytes in big-endian order.
std::string encodeFrame(const protocol::AttemptFrame &frame);

/// Decodes frames from a byte stream that arrives in pieces of any size.
class AttemptFrameDecoder
{
public:
    explicit AttemptFrameDecoder(std::size_t maxFrame = MaxFrameSize);

    /// Returns the frames that these bytes complete. Fails with Corrupted when a frame is malformed
    /// or too large; the stream cannot be decoded any further then.
    domain::Expected<std::vector<protocol::AttemptFrame>> feed(std::string_view bytes);
    /// True when no incomplete frame is pending.
    bool isAtBoundary() const { return m_pending.empty(); }

private:
    std::size_t m_maxFrame;
    std::string m_pending;
};

} // namespace oriolerill::requests
