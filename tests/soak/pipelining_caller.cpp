#include "tests/soak/pipelining_caller.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace jacinthshift {

namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds Period{20};

} // namespace

PipeliningCaller::PipeliningCaller(PipeliningCallerOptions options, TimerService &timers,
                                   ObservationLog &observations)
    : m_options(std::move(options)), m_timers(timers), m_observations(observations)
{
    m_timer = Timer(m_timers, m_timers.startPeriodic(Period, [this] { exchange(); }));
}

void PipeliningCaller::exchange()
{
    if (!m_connected) {
        m_connected = m_socket.connect(m_options.server, "");
        return;
    }
    if (!read() || !write())
        disconnect();
}

bool PipeliningCaller::read()
{
    std::array<char, 16'384> buffer;
    while (true) {
        std::size_t received = 0;
        const SocketResult outcome = m_socket.read(buffer.data(), buffer.size(), received);
        m_input.append(buffer.data(), received);
        if (outcome != SocketResult::Progress)
            return parse() && outcome == SocketResult::WouldBlock;
    }
}

bool PipeliningCaller::parse()
{
    while (!m_input.empty() && !m_open.empty()) {
        if (!m_parser)
            m_parser.emplace().eager(true);
        boost::system::error_code error;
        m_input.erase(0, m_parser->put(boost::asio::buffer(m_input), error));
        if (error == http::error::need_more)
            return true;
        if (error)
            return false;
        if (!m_parser->is_done())
            continue;
        HttpResult result{.verdict = Verdict::Done};
        result.response.status = static_cast<int>(m_parser->get().result_int());
        for (const auto &field : m_parser->get())
            result.response.headers.push_back(
                    {std::string(field.name_string()), std::string(field.value())});
        result.response.body = std::move(m_parser->get().body());
        m_observations.requestEnded(m_open.front(), m_timers.now(), result);
        m_open.pop_front();
        m_parser.reset();
    }
    return true;
}

bool PipeliningCaller::write()
{
    while (true) {
        // A request is recorded as sent when it is made, so none is made while another one waits.
        if (m_output.empty()) {
            if (m_open.size() >= m_options.depth)
                return true;
            PipelinedRequest request = m_options.nextRequest();
            m_open.push_back(request.index);
            m_output = std::move(request.bytes);
        }
        std::size_t written = 0;
        if (m_socket.write(m_output.data(), m_output.size(), written) == SocketResult::Failed)
            return false;
        m_output.erase(0, written);
        if (!m_output.empty())
            return true;
    }
}

void PipeliningCaller::disconnect()
{
    for (const std::size_t index : m_open)
        m_observations.requestEnded(
                index, m_timers.now(),
                {.verdict = Verdict::MayHaveRun, .failure = HttpFailure::ConnectionLost});
    m_open.clear();
    m_input.clear();
    m_output.clear();
    m_parser.reset();
    m_socket.close();
    m_connected = false;
}

} // namespace jacinthshift
