#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "modules/owner/admission_queue.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const SteadyTime epoch{std::chrono::hours(1)};

SteadyTime at(int millisecond)
{
    return epoch + milliseconds(millisecond);
}

/** Returns a ticket of route "r"; target and deadline are in milliseconds after now. */
AdmissionTicket ticket(std::uint64_t id, int now, int target, int deadline,
                       std::uint32_t priority = 1)
{
    return AdmissionTicket{.id = id,
                           .route = "r",
                           .priority = priority,
                           .targetAt = at(now + target),
                           .deadline = at(now + deadline)};
}

/**
 * Simulates one backend server in steps of 1 ms. Each request takes the same time. All times are in
 * milliseconds.
 */
class SimulatedBackend
{
    struct Running
    {
        std::uint64_t id;
        int until;
    };

    int m_serviceTime;
    std::vector<Running> m_running;

public:
    AdmissionQueue queue{AdmissionQueueOptions{}};
    std::map<std::uint64_t, int> finishedAt;
    std::vector<std::uint64_t> droppedIds;
    int now = 0;
    std::size_t mostRunning = 0;

    SimulatedBackend(std::uint32_t slots, int serviceTime) : m_serviceTime(serviceTime)
    {
        queue.setLimit(slots);
        // One answer gives the queue its estimate of the service time.
        queue.offer(ticket(0, 0, 10'000, 20'000), at(0));
        queue.finished("r", milliseconds(serviceTime), at(0));
    }

    void start(std::uint64_t id)
    {
        m_running.push_back({id, now + m_serviceTime});
        mostRunning = std::max(mostRunning, m_running.size());
    }

    AdmissionDecision::Kind offer(const AdmissionTicket &offered)
    {
        const AdmissionDecision decision = queue.offer(offered, at(now));
        if (decision.kind == AdmissionDecision::Kind::Start)
            start(offered.id);
        return decision.kind;
    }

    void step()
    {
        ++now;
        std::erase_if(m_running, [this](const Running &running) {
            if (running.until > now)
                return false;
            finishedAt[running.id] = now;
            queue.finished("r", milliseconds(m_serviceTime), at(now));
            return true;
        });
        const DequeuedTickets due = queue.dequeue(at(now));
        for (const std::uint64_t id : due.start)
            start(id);
        droppedIds.insert(droppedIds.end(), due.dropped.begin(), due.dropped.end());
    }
};

} // namespace

TEST_CASE("surge: admitted requests are answered in time, the others are refused at once")
{
    // 10 slots at 100 ms serve 100 requests per second; 200 per second arrive for 5 s.
    SimulatedBackend backend(10, 100);
    std::map<std::uint64_t, int> arrivedAt;
    int refused = 0;
    for (std::uint64_t id = 1; id <= 1'000; ++id) {
        arrivedAt[id] = backend.now;
        if (backend.offer(ticket(id, backend.now, 400, 1'500)) == AdmissionDecision::Kind::Refuse)
            ++refused;
        for (int i = 0; i < 5; ++i)
            backend.step();
    }
    int inTime = 0;
    for (const auto &[id, finished] : backend.finishedAt)
        inTime += finished - arrivedAt[id] <= 400 ? 1 : 0;
    CHECK(backend.mostRunning <= 10);
    CHECK(inTime >= 480);
    CHECK(inTime >= static_cast<int>(backend.finishedAt.size()) * 95 / 100);
    CHECK(backend.droppedIds.size() <= 20);
    CHECK(refused >= 400);
}

TEST_CASE("surge: less urgent requests are refused before more urgent ones")
{
    SimulatedBackend backend(10, 100);
    std::map<std::uint32_t, int> refused;
    for (std::uint64_t id = 1; id <= 600; ++id) {
        const std::uint32_t priority = 1 + id % 2;
        if (backend.offer(ticket(id, backend.now, 400, 1'500, priority))
            == AdmissionDecision::Kind::Refuse)
            ++refused[priority];
        REQUIRE(backend.queue.waiting() <= 40);
        for (int i = 0; i < 6; ++i)
            backend.step();
    }
    CHECK(refused[1] <= 10);
    CHECK(refused[2] >= 100);
}

TEST_CASE("surge: a request that becomes late in the queue does not wait while others are in time")
{
    SimulatedBackend backend(1, 100);
    while (backend.now < 10'000)
        backend.step();
    backend.offer(ticket(1, backend.now, 1'000, 5'000));
    REQUIRE(backend.offer(ticket(2, backend.now, 350, 5'000, 2)) == AdmissionDecision::Kind::Wait);
    std::uint64_t id = 10;
    for (int i = 0; i < 600; ++i) {
        if (i % 90 == 10)
            backend.offer(ticket(id++, backend.now, 1'000, 5'000));
        backend.step();
    }
    const bool served = backend.finishedAt.contains(2) && backend.finishedAt[2] <= 10'350;
    const bool wasDropped = std::find(backend.droppedIds.begin(), backend.droppedIds.end(), 2)
                            != backend.droppedIds.end();
    CHECK((served || wasDropped));
}

TEST_CASE("a retry after a refusal starts before a new request of the same priority")
{
    SimulatedBackend backend(1, 100);
    backend.offer(ticket(1, 0, 1'000, 2'000));
    backend.offer(ticket(2, 0, 1'000, 2'000));
    AdmissionTicket retry = ticket(3, 0, 900, 1'900);
    retry.isCallerRetry = true;
    backend.offer(retry);
    for (int i = 0; i < 350; ++i)
        backend.step();
    CHECK(backend.finishedAt[3] < backend.finishedAt[2]);
}

TEST_CASE("sustained overload: retries do not make new requests late")
{
    // Twice the backend server's capacity for 10 s; each refused request is retried once.
    SimulatedBackend backend(10, 100);
    std::map<std::uint64_t, AdmissionTicket> tickets;
    std::multimap<int, std::uint64_t> retries; // Ticket ids by the time of their retry.
    const auto offer = [&](std::uint64_t id) {
        const AdmissionTicket &offered = tickets.at(id);
        const AdmissionDecision decision = backend.queue.offer(offered, at(backend.now));
        if (decision.kind == AdmissionDecision::Kind::Start)
            backend.start(id);
        if (decision.kind == AdmissionDecision::Kind::Refuse && !offered.isCallerRetry)
            retries.emplace(backend.now + static_cast<int>(decision.expectedWait.count()), id);
    };
    for (std::uint64_t id = 1; backend.now < 10'000; ++id) {
        tickets[id] = ticket(id, backend.now, 400, 1'500);
        offer(id);
        for (int i = 0; i < 5; ++i) {
            backend.step();
            const auto due = retries.equal_range(backend.now);
            for (auto retry = due.first; retry != due.second; ++retry) {
                tickets[retry->second].isCallerRetry = true;
                offer(retry->second);
            }
        }
    }
    std::size_t inTime = 0;
    for (const auto &[id, finished] : backend.finishedAt)
        inTime += at(finished) <= tickets[id].targetAt ? 1 : 0;
    CHECK(backend.finishedAt.size() >= 950);
    CHECK(inTime >= backend.finishedAt.size() * 9 / 10);
}

TEST_CASE("slow minority: a backend server that cannot meet deadlines runs only probes")
{
    AdmissionQueue queue{AdmissionQueueOptions{}};
    queue.setLimit(10);
    int started = 0;
    for (std::uint64_t id = 1; id <= 10; ++id) {
        const AdmissionDecision decision = queue.offer(ticket(id, 0, 400, 800), at(0));
        if (decision.kind != AdmissionDecision::Kind::Start)
            continue;
        ++started;
        queue.finished("r", milliseconds(2'000), at(0));
    }
    CHECK(started == 10);
    int running = 0;
    for (std::uint64_t id = 11; id <= 30; ++id) {
        const AdmissionDecision decision = queue.offer(ticket(id, 0, 400, 800), at(0));
        running += decision.kind == AdmissionDecision::Kind::Start ? 1 : 0;
        CHECK(decision.kind != AdmissionDecision::Kind::Wait);
    }
    CHECK(running == 2);
    SECTION("and is tried again after the slow period")
    {
        const AdmissionDecision later = queue.offer(ticket(40, 12'000, 400, 800), at(12'000));
        CHECK(later.kind == AdmissionDecision::Kind::Start);
    }
}

TEST_CASE("cold return of a failure domain: starts per second stay within the start rate")
{
    SimulatedBackend backend(18, 20);
    backend.queue.setStartRate(30.0, WorkRefusal::Cold, at(0));
    // Every request takes 20 ms, so requests end at the rate at which they start.
    std::vector<int> endTimes;
    std::size_t recorded = 0;
    for (std::uint64_t id = 1; id <= 3'000; ++id) {
        backend.offer(ticket(id, backend.now, 2'000, 4'000));
        backend.step();
        const std::size_t finished = backend.finishedAt.size();
        for (; recorded < finished; ++recorded)
            endTimes.push_back(backend.now);
    }
    for (std::size_t first = 0; first < endTimes.size(); ++first) {
        const auto withinSecond =
                std::count_if(endTimes.begin() + static_cast<std::ptrdiff_t>(first), endTimes.end(),
                              [&](int time) { return time < endTimes[first] + 1'000; });
        REQUIRE(withinSecond <= 33);
    }
    CHECK(endTimes.size() >= 80);
}

TEST_CASE("callers that leave early: a withdrawn request leaves the queue")
{
    SimulatedBackend backend(1, 100);
    backend.offer(ticket(1, 0, 1'000, 2'000));
    backend.offer(ticket(2, 0, 1'000, 2'000));
    CHECK(backend.queue.withdraw(2));
    CHECK_FALSE(backend.queue.withdraw(2));
    CHECK(backend.queue.waiting() == 0);
}

// Load pattern: in a surge, requests wait until too little time is left and are then aborted at
// their deadline by the backend server.
TEST_CASE("surge: a request whose usual run no longer fits into its time is not started")
{
    AdmissionQueue queue{AdmissionQueueOptions{}};
    queue.setLimit(4);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        AdmissionTicket running = ticket(id, 0, 800, 2'000);
        running.expectedTime = milliseconds(500);
        REQUIRE(queue.offer(running, at(0)).kind == AdmissionDecision::Kind::Start);
    }
    AdmissionTicket waiting = ticket(5, 0, 800, 2'000);
    waiting.expectedTime = milliseconds(500);
    REQUIRE(queue.offer(waiting, at(0)).kind == AdmissionDecision::Kind::Wait);
    queue.finished("r", milliseconds(1'600), at(1'600));
    const DequeuedTickets due = queue.dequeue(at(1'600));
    CHECK(due.start.empty());
    CHECK(due.dropped == std::vector<std::uint64_t>{5});
}

// Load pattern: all processes start again under full load; each backend server has 18 free slots.
TEST_CASE("start under load: requests that the slots can run in time wait for the first answer")
{
    AdmissionQueue queue{AdmissionQueueOptions{}};
    queue.setLimit(2, 18);
    for (std::uint64_t id = 1; id <= 18; ++id) {
        INFO(id);
        CHECK(queue.offer(ticket(id, 0, 800, 2'000), at(0)).kind
              != AdmissionDecision::Kind::Refuse);
    }
    queue.finished("r", milliseconds(250), at(250));
    queue.setLimit(18, 18);
    CHECK(queue.dequeue(at(250)).start.size() == 16);
}

// Load pattern: urgent requests are late because of a surge of less urgent ones that are not.
TEST_CASE("surge: an urgent request that is late does not wait behind less urgent ones")
{
    SimulatedBackend backend(1, 100);
    backend.offer(ticket(1, 0, 1'000, 5'000));
    REQUIRE(backend.offer(ticket(2, 0, 2'000, 5'000, 2)) == AdmissionDecision::Kind::Wait);
    // Its caller comes back after a refusal, with its target latency spent.
    REQUIRE(backend.offer(ticket(3, 0, 50, 5'000, 1)) == AdmissionDecision::Kind::Wait);
    for (int i = 0; i < 400; ++i)
        backend.step();
    REQUIRE(backend.finishedAt.contains(3));
    REQUIRE(backend.finishedAt.contains(2));
    CHECK(backend.finishedAt[3] < backend.finishedAt[2]);
}

// Load pattern: urgent requests alone exceed the capacity for five seconds.
TEST_CASE("surge: a less urgent class gets a small part of the starts and does not starve")
{
    SimulatedBackend backend(10, 100);
    std::uint64_t id = 1;
    std::map<std::uint64_t, std::uint32_t> priorities;
    while (backend.now < 5'000) {
        const std::uint32_t priority = id % 4 == 0 ? 2 : 1;
        priorities[id] = priority;
        backend.offer(ticket(id, backend.now, 1'000, 5'000, priority));
        ++id;
        for (int i = 0; i < 5; ++i)
            backend.step();
    }
    std::map<std::uint32_t, int> served;
    for (const auto &[finished, when] : backend.finishedAt)
        ++served[priorities[finished]];
    CHECK(served[2] >= 15);
    CHECK(served[1] >= 8 * served[2]);
}

// Guards against refusals by a mean that single long runs distort.
TEST_CASE("long runs: the wait is estimated by the usual time of runs where that is known")
{
    AdmissionQueue queue{AdmissionQueueOptions{}};
    queue.setLimit(2);
    for (const int sample : {250, 1'750, 1'750}) {
        queue.offer(ticket(1, 0, 800, 2'000), at(0));
        queue.finished("r", milliseconds(sample), at(0));
    }
    queue.setMeanRunTime(milliseconds(250));
    const auto offer = [&](std::uint64_t id) {
        AdmissionTicket offered = ticket(id, 0, 800, 2'000);
        offered.expectedTime = milliseconds(250);
        return queue.offer(offered, at(0));
    };
    offer(2);
    offer(3);
    const AdmissionDecision waiting = offer(4);
    CHECK(waiting.kind == AdmissionDecision::Kind::Wait);
    CHECK(waiting.expectedWait <= milliseconds(250));
}

} // namespace jacinthshift
