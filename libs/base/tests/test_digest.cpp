#include <base/digest.hpp>

#include <catch2/catch.hpp>

using namespace cuminledge;

TEST_CASE("digests match their published test vectors")
{
    // FIPS 180-2, appendix B.1.
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2.
    CHECK(hmacSha256Hex("Jefe", "what do ya want for nothing?")
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(equalConstantTime("same", "same"));
    CHECK_FALSE(equalConstantTime("same", "sane"));
    CHECK(randomHex(8).size() == 16);
}
