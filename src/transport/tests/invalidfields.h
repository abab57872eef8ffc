#pragma once

#include <gtest/gtest.h>

#include <string>

namespace oriolerill::transport {

/// A line of a head whose field name HTTP does not allow.
struct InvalidField
{
    const char *label;
    std::string line;
};

inline std::ostream &operator<<(std::ostream &stream, const InvalidField &field)
{
    return stream << field.label;
}

inline const InvalidField invalidFields[] = {
        {"Blank", "X Y: 1\r\n"},
        {"Tab", "X\tY: 1\r\n"},
        {"Nul", std::string("X\0Y: 1\r\n", 8)},
        {"ControlByte", "X\x01Y: 1\r\n"},
        {"Escape", "X\x1bY: 1\r\n"},
        {"Delete", "X\x7fY: 1\r\n"},
        {"HighByte", "X\xffY: 1\r\n"},
        {"LoneLineBreak", "X\nY: 1\r\n"},
        {"LoneReturn", "X\rY: 1\r\n"},
        {"BlankBeforeColon", "X : 1\r\n"},
        {"LengthWithBlankBeforeColon", "Content-Length : 1\r\n"},
        {"LengthWithBlank", "Content Length: 1\r\n"},
        {"EncodingWithControlByte", "Transfer-Encoding\x02: chunked\r\n"},
        {"EmptyName", ": 1\r\n"},
        {"NoColon", "X\r\n"},
};

inline std::string labelOf(const testing::TestParamInfo<InvalidField> &info)
{
    return info.param.label;
}

} // namespace oriolerill::transport
