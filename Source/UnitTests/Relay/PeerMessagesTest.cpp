#include <gtest/gtest.h>

#include "Relay/ForwardNote.h"
#include "Relay/PeerSync.h"

namespace LaburnumChute::Relay {

TEST(ForwardNoteTest, NoteTravelsAsText)
{
    ForwardNote note;
    note.service = "desk";
    note.attempts = 2;
    note.objectiveLeftMs = -40;
    note.fingerprint = 0xfedcba9876543210ULL;
    note.fromRegion = "north";
    const auto read = decodeNote(encodeNote(note));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->service, "desk");
    EXPECT_EQ(read->objectiveLeftMs, -40);
    EXPECT_EQ(read->fingerprint, note.fingerprint);
    EXPECT_EQ(read->fromRegion, "north");
}

// A text that is no note, or a damaged one whose lengths lie. It must not cost memory or the
// process.
TEST(ForwardNoteTest, OtherTextsAreErrors)
{
    EXPECT_FALSE(decodeNote(""));
    EXPECT_FALSE(decodeNote("zz"));
    EXPECT_FALSE(decodeNote("01ffffffffffffffff"));
    const auto whole = encodeNote(ForwardNote());
    EXPECT_FALSE(decodeNote(whole.substr(0, whole.size() / 2)));
}

TEST(PeerSyncTest, TargetNamesTheRevision)
{
    EXPECT_EQ(readItemsTarget(itemsTarget(42)), 42U);
    EXPECT_FALSE(readItemsTarget("/laburnumchute/items"));
    EXPECT_FALSE(readItemsTarget("/other?after=3"));
    EXPECT_FALSE(readItemsTarget("/laburnumchute/items?after=x"));
}

} // namespace LaburnumChute::Relay
