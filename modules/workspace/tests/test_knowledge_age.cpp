#include <catch2/catch.hpp>

#include "modules/workspace/knowledge_age.h"
#include "tests/support/manual_boot_clock.h"

namespace jacinthshift {

using std::chrono::milliseconds;

// Guards against a restarted node that accepts keys before it knows anything.
TEST_CASE("knowledge has no age before anything is confirmed")
{
    const ManualBootClock clock;
    KnowledgeAge knowledge;
    CHECK_FALSE(knowledge.age(clock.now()).has_value());
    knowledge.installed(4);
    CHECK_FALSE(knowledge.age(clock.now()).has_value());
}

// Guards against an answer of the store that is held back in a connection and counts as new.
TEST_CASE("a read counts from when it was sent, and an older one changes nothing")
{
    ManualBootClock clock;
    KnowledgeAge knowledge;
    const BootTime first = clock.now();
    clock.advance(milliseconds(1'000));
    const BootTime second = clock.now();
    clock.advance(milliseconds(300));
    knowledge.tableRead(second);
    CHECK(knowledge.age(clock.now()) == milliseconds(300));
    knowledge.tableRead(first);
    CHECK(knowledge.age(clock.now()) == milliseconds(300));
}

// Guards against a frozen node that accepts withdrawn keys when it wakes up.
TEST_CASE("the age includes the time for which the VM was frozen")
{
    ManualBootClock clock;
    KnowledgeAge knowledge;
    knowledge.tableRead(clock.now());
    clock.advance(milliseconds(9'000));
    CHECK(knowledge.age(clock.now()) == milliseconds(9'000));
}

// Guards against withdrawn keys that are accepted as recent while the configuration without them
// waits for its installation.
TEST_CASE("a read does not count while a configuration waits to be installed")
{
    ManualBootClock clock;
    KnowledgeAge knowledge;
    knowledge.installed(1);
    knowledge.tableRead(clock.now());
    clock.advance(milliseconds(500));
    knowledge.installationPending();
    knowledge.tableRead(clock.now());
    clock.advance(milliseconds(200));
    CHECK(knowledge.age(clock.now()) == milliseconds(700));
    knowledge.installed(2);
    CHECK(knowledge.age(clock.now()) == milliseconds(200));
    clock.advance(milliseconds(100));
    knowledge.tableRead(clock.now());
    CHECK(knowledge.age(clock.now()) == milliseconds(0));
}

// Guards against a report about a configuration that this node does not have.
TEST_CASE("a report about a newer configuration counts once that one is installed")
{
    ManualBootClock clock;
    KnowledgeAge knowledge;
    knowledge.installed(1);
    knowledge.newestReported(1, clock.now());
    clock.advance(milliseconds(500));
    knowledge.newestReported(3, clock.now());
    CHECK(knowledge.age(clock.now()) == milliseconds(500));
    knowledge.installationPending();
    knowledge.installed(2);
    CHECK(knowledge.age(clock.now()) == milliseconds(500));
    knowledge.installed(3);
    CHECK(knowledge.age(clock.now()) == milliseconds(0));
}

// Guards against refusals on a node that has a newer configuration than the node that it asked.
TEST_CASE("a report about an older configuration confirms a newer one in force")
{
    const ManualBootClock clock;
    KnowledgeAge knowledge;
    knowledge.installed(5);
    knowledge.newestReported(4, clock.now());
    CHECK(knowledge.age(clock.now()) == milliseconds(0));
}

// Guards against ages that are rounded down, so that a node takes a reader's knowledge for newer.
TEST_CASE("the age is rounded up to whole milliseconds")
{
    const ManualBootClock clock;
    KnowledgeAge knowledge;
    knowledge.tableRead(clock.now());
    CHECK(knowledge.age(clock.now() + std::chrono::nanoseconds(1)) == milliseconds(1));
}

} // namespace jacinthshift
