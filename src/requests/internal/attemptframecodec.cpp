#include "requests/attemptframecodec.h"

#include <cstdint>
#include <utility>

namespace oriolerill::requests {

using domain::Error;
using domain::ErrorKind;

namespace {

constexpr std::size_t PrefixSize = 4;
constexpr unsigned BitsPerByte = 8;

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < PrefixSize; ++i)
        length = (length << BitsPerByte) | static_cast<std::uint8_t>(bytes[i]);
    return length;
}

Error corrupted(const char *reason)
{
    return Error{ErrorKind::Corrupted, std::string("the attempt stream is damaged: ") + reason,
            "send the attempt again on a new connection"};
}

} // namespace

std::string encodeFrame(const protocol::AttemptFrame &frame)
{
    const std::size_t size = frame.ByteSizeLong();
    std::string encoded(PrefixSize, '\0');
    for (std::size_t i = 0; i < PrefixSize; ++i)
        encoded[i] = static_cast<char>(size >> (BitsPerByte * (PrefixSize - 1 - i)));
    frame.AppendToString(&encoded);
    return encoded;
}

AttemptFrameDecoder::AttemptFrameDecoder(std::size_t maxFrame)
    : m_maxFrame(maxFrame)
{}

domain::Expected<std::vector<protocol::AttemptFrame>> AttemptFrameDecoder::feed(
        std::string_view bytes)
{
    m_pending += bytes;
    std::vector<protocol::AttemptFrame> frames;
    std::size_t position = 0;
    while (m_pending.size() - position >= PrefixSize) {
        const std::string_view rest = std::string_view(m_pending).substr(position);
        const std::size_t length = readLength(rest);
        if (length > m_maxFrame)
            return corrupted("a frame is too large");
        if (rest.size() < PrefixSize + length)
            break;
        protocol::AttemptFrame frame;
        if (!frame.ParseFromArray(rest.data() + PrefixSize, static_cast<int>(length)))
            return corrupted("a frame cannot be parsed");
        frames.push_back(std::move(frame));
        position += PrefixSize + length;
    }
    m_pending.erase(0, position);
    return frames;
}

} // namespace oriolerill::requests
