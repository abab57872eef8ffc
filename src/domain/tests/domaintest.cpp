#include "domain/digest.h"
#include "domain/rendezvous.h"
#include "domain/socketaddress.h"

#include <gtest/gtest.h>

namespace oriolerill::domain {

// Guards against a text form that does not parse back to its digest, and against accepting a text
// of another length.
TEST(Digest, fromHex_textOfDigest_sameDigest)
{
    const Digest digest = Digest::of("abc");
    EXPECT_EQ(digest.hex(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(Digest::fromHex(digest.hex()), digest);
    EXPECT_EQ(Digest::fromHex(digest.hex().substr(1)), std::nullopt);
}

// Guards against an address that is accepted here but refused when a socket is opened, such as one
// with leading zeros in an octet, which some systems read as octal.
TEST(SocketAddress, parse_malformedText_empty)
{
    EXPECT_EQ(SocketAddress::parse("127.0.0.1:80"), (SocketAddress{"127.0.0.1", 80}));
    for (const char *text : {"127.0.0.1", "localhost:80", "127.0.0:80", "127.0.0.256:1",
                 "127.0.0.1:65536", "127.0.0.1:", "1.2.3.4.5:6", "127.0.0.01:1", "127.000.0.1:1",
                 "127.0.0.1:-1", "127.0.0.1:4294967297", "127.0.0.1:99999999999999999999"})
        EXPECT_EQ(SocketAddress::parse(text), std::nullopt) << text;
}

// Guards against a membership change that moves keys between the remaining members.
TEST(Rendezvous, rendezvousRank_memberRemoved_orderOfOthersKept)
{
    const auto all = rendezvousRank("key", {"a", "b", "c", "d"});
    auto expected = all;
    std::erase(expected, "b");
    EXPECT_EQ(rendezvousRank("key", {"d", "c", "a"}), expected);
}

} // namespace oriolerill::domain
