#include "drivers/epoll/signal_watch.h"

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <ctime>
#include <utility>

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace jacinthshift {

namespace {

/** What the handler of a signal uses; it may call only async-signal-safe functions. */
struct SignalState
{
    std::atomic<std::int64_t> receivedAt{0}; ///< Nanoseconds of the monotonic clock, or 0.
    std::atomic<int> wakeUpDescriptor{-1};

    static_assert(std::atomic<std::int64_t>::is_always_lock_free);
    static_assert(std::atomic<int>::is_always_lock_free);
};

std::array<SignalState, NSIG> signalStates;

void handleSignal(int signal)
{
    constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;
    const int savedErrno = errno;
    timespec now = {};
    clock_gettime(CLOCK_MONOTONIC, &now);
    SignalState &state = signalStates[static_cast<std::size_t>(signal)];
    std::int64_t none = 0;
    state.receivedAt.compare_exchange_strong(none, now.tv_sec * NanosecondsPerSecond + now.tv_nsec);
    // A full pipe wakes the loop as well.
    [[maybe_unused]] const ssize_t written = write(state.wakeUpDescriptor, "s", 1);
    errno = savedErrno;
}

} // namespace

SignalWatch::SignalWatch(int signal, Callback callback)
    : m_signal(signal), m_callback(std::move(callback))
{
    if (pipe2(m_pipe.data(), O_NONBLOCK | O_CLOEXEC) == 0)
        EpollLoop::instance().watch(m_pipe[0], EPOLLIN, *this);
    EpollLoop::instance().addObserver(*this);
    SignalState &state = signalStates[static_cast<std::size_t>(m_signal)];
    state.receivedAt = 0;
    state.wakeUpDescriptor = m_pipe[1];
    struct sigaction action = {};
    action.sa_handler = handleSignal;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    sigaction(m_signal, &action, &m_replacedAction);
}

SignalWatch::~SignalWatch()
{
    sigaction(m_signal, &m_replacedAction, nullptr);
    signalStates[static_cast<std::size_t>(m_signal)].wakeUpDescriptor = -1;
    EpollLoop::instance().removeObserver(*this);
    if (m_pipe[0] < 0)
        return;
    EpollLoop::instance().unwatch(m_pipe[0], *this);
    close(m_pipe[0]);
    close(m_pipe[1]);
}

void SignalWatch::ignoreAfterwards()
{
    m_replacedAction = {};
    m_replacedAction.sa_handler = SIG_IGN;
}

void SignalWatch::iterationBegins()
{
    SignalState &state = signalStates[static_cast<std::size_t>(m_signal)];
    if (state.receivedAt.load(std::memory_order_relaxed) == 0)
        return;
    const std::chrono::nanoseconds receivedAt(state.receivedAt.exchange(0));
    // The callback may destroy the watch, so a copy is called.
    const Callback callback = m_callback;
    callback(SteadyTime(receivedAt));
}

void SignalWatch::descriptorReady(std::uint32_t)
{
    std::array<char, 64> buffer;
    while (read(m_pipe[0], buffer.data(), buffer.size()) > 0)
        continue;
    iterationBegins();
}

} // namespace jacinthshift
