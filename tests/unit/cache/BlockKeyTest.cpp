#include "chiveshelf/cache/BlockKey.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using chiveshelf::BlockIdentity;
using chiveshelf::computeBlockKeys;

constexpr std::size_t blockBytes = 8;

class BlockKeyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BlockKeyTest);
    CPPUNIT_TEST(keysOfLongerPromptBeginWithKeysOfItsPrefix);
    CPPUNIT_TEST(keysAfterFirstDifferenceNeverMatch);
    CPPUNIT_TEST(keysOfDifferentIdentitiesNeverMatch);
    CPPUNIT_TEST(textMovedBetweenIdentityFieldsChangesKeys);
    CPPUNIT_TEST(partialLastBlockHasNoKey);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against keys that depend on the text after a block, so that a conversation cannot reuse the blocks of its earlier
    // turns.
    void keysOfLongerPromptBeginWithKeysOfItsPrefix()
    {
        CPPUNIT_ASSERT(rc::check("prefix", [](const std::string& prompt, const std::string& more) {
            const BlockIdentity identity { "org", "model", "", "v1" };
            const auto shorter = computeBlockKeys(identity, prompt, blockBytes);
            const auto longer = computeBlockKeys(identity, prompt + more, blockBytes);
            RC_ASSERT(longer.size() >= shorter.size());
            RC_ASSERT(std::equal(shorter.begin(), shorter.end(), longer.begin()));
        }));
    }

    // Guards against the reuse of a block after a prefix other than the one it was computed with.
    void keysAfterFirstDifferenceNeverMatch()
    {
        CPPUNIT_ASSERT(rc::check("difference", [] {
            const auto prompt = *rc::gen::container<std::string>(blockBytes * 6, rc::gen::arbitrary<char>());
            const auto at = *rc::gen::inRange<std::size_t>(0, prompt.size());
            auto other = prompt;
            other[at] = static_cast<char>(other[at] + 1);
            const BlockIdentity identity { "org", "model", "", "v1" };
            const auto a = computeBlockKeys(identity, prompt, blockBytes);
            const auto b = computeBlockKeys(identity, other, blockBytes);
            for (std::size_t i = 0; i < a.size(); ++i)
                RC_ASSERT((a[i] == b[i]) == (i < at / blockBytes));
        }));
    }

    // Guards against the reuse of a block across organisations, models, adapters or versions.
    void keysOfDifferentIdentitiesNeverMatch()
    {
        CPPUNIT_ASSERT(rc::check("identity", [](const std::array<std::string, 4>& a, const std::string& value, const std::string& tail) {
            // Change a single field, so that the test fails if any field is missing from the key.
            auto b = a;
            b[*rc::gen::inRange<std::size_t>(0, b.size())] = value;
            RC_PRE(a != b);
            const auto prompt = std::string(blockBytes * 2, 'x') + tail;
            const auto first = computeBlockKeys({ a[0], a[1], a[2], a[3] }, prompt, blockBytes);
            const auto second = computeBlockKeys({ b[0], b[1], b[2], b[3] }, prompt, blockBytes);
            for (const auto& key : first)
                RC_ASSERT(std::find(second.begin(), second.end(), key) == second.end());
        }));
    }

    // Guards against identity fields that are concatenated without a delimiter. Random strings seldom reveal this.
    void textMovedBetweenIdentityFieldsChangesKeys()
    {
        CPPUNIT_ASSERT(rc::check("borders", [](const std::string& text) {
            const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
            RC_PRE(cut < text.size());
            const std::string prompt(blockBytes, 'x');
            RC_ASSERT(computeBlockKeys({ text, "", "", "" }, prompt, blockBytes) != computeBlockKeys({ text.substr(0, cut), text.substr(cut), "", "" }, prompt, blockBytes));
            RC_ASSERT(computeBlockKeys({ "o", "m", text, "" }, prompt, blockBytes) != computeBlockKeys({ "o", "m", text.substr(0, cut), text.substr(cut) }, prompt, blockBytes));
        }));
    }

    // Guards against a key for an incomplete block, whose remaining tokens are not known yet.
    void partialLastBlockHasNoKey()
    {
        const BlockIdentity identity { "org", "model", "", "v1" };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, computeBlockKeys(identity, std::string(blockBytes * 2 - 1, 'x'), blockBytes).size());
        CPPUNIT_ASSERT(computeBlockKeys(identity, "", blockBytes).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BlockKeyTest);

}
