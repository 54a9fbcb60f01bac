#ifndef DRIVERS_EPOLL_SIGNAL_WATCH_H
#define DRIVERS_EPOLL_SIGNAL_WATCH_H

#include <array>
#include <csignal>
#include <functional>

#include "drivers/epoll/epoll_loop.h"

namespace jacinthshift {

/**
 * Calls back on the event loop when the process receives a signal. Neither another thread nor the
 * descriptors that are ready delay the call by more than one iteration of the loop. A signal can
 * have one watch at a time.
 */
class SignalWatch final : public DescriptorHandler, public IterationObserver
{
public:
    /** Receives when the process received the signal, for the first time since the last call. */
    using Callback = std::function<void(SteadyTime receivedAt)>;

    /** Replaces the action of the signal until the watch is destroyed. */
    SignalWatch(int signal, Callback callback);
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;
    ~SignalWatch() override;

    /** Ignores the signal once the watch is destroyed, instead of restoring its earlier action. */
    void ignoreAfterwards();

private:
    int m_signal;
    Callback m_callback;
    std::array<int, 2> m_pipe{-1, -1}; ///< Wakes the loop; its read end and its write end.
    struct sigaction m_replacedAction = {};

    void iterationBegins() override;
    void descriptorReady(std::uint32_t events) override;
};

} // namespace jacinthshift

#endif // DRIVERS_EPOLL_SIGNAL_WATCH_H
