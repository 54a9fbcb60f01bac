#include "modules/workspace/knowledge_exchange.h"

#include <algorithm>
#include <utility>

namespace jacinthshift {

namespace {

// Late answers to older questions could not prevent a refusal any more.
constexpr std::size_t MaxQuestions = 16;

} // namespace

KnowledgeExchange::KnowledgeExchange(const KnowledgeExchangeOptions &options, FleetNetwork &network,
                                     TimerService &timers, const BootClock &clock,
                                     KnowledgeAge &knowledge, std::function<bool()> isNeeded)
    : m_options(options)
    , m_network(network)
    , m_clock(clock)
    , m_knowledge(knowledge)
    , m_isNeeded(std::move(isNeeded))
    , m_random(options.randomSeed)
    , m_nextReader(m_random.below(1'000))
{
    network.addObserver(*this);
    m_timer = Timer(timers, timers.startPeriodic(options.checkPeriod, [this] { check(); }));
}

bool KnowledgeExchange::hasRecentKnowledge() const
{
    const std::optional<std::chrono::milliseconds> age = m_knowledge.age(m_clock.now());
    return age && *age < m_options.askAge;
}

void KnowledgeExchange::check()
{
    if (!m_isNeeded())
        return;
    if (hasRecentKnowledge()) {
        m_failures = 0;
        return;
    }
    if (!m_questions.empty()
        && m_clock.now() - m_questions.back().askedAt < m_options.answerTimeout)
        return;
    ask();
}

std::string KnowledgeExchange::chooseReader()
{
    std::vector<const std::string *> ownDomain;
    std::vector<const std::string *> otherDomains;
    for (const auto &[node, peer] : m_network.peers()) {
        const bool isReader = m_network.isReachable(peer) && peer.hasStatus && peer.status.readsLog
                              && !peer.status.leaving;
        if (isReader)
            (m_network.isInOwnDomain(peer) ? ownDomain : otherDomains).push_back(&node);
    }
    if (ownDomain.empty() && otherDomains.empty())
        return {};
    // Each reader of the own domain is asked before one of another domain is.
    const bool asksOwnDomain =
            otherDomains.empty() || m_failures % (ownDomain.size() + 1) < ownDomain.size();
    if (asksOwnDomain)
        return *ownDomain[m_nextReader % ownDomain.size()];
    return *otherDomains[m_random.below(otherDomains.size())];
}

void KnowledgeExchange::ask()
{
    if (m_failures > 0)
        ++m_nextReader;
    const std::string reader = chooseReader();
    if (reader.empty())
        return;
    ++m_failures;
    if (m_questions.size() >= MaxQuestions)
        m_questions.erase(m_questions.begin());
    m_questions.push_back({.number = ++m_lastNumber, .askedAt = m_clock.now()});
    m_network.send(reader, KnowledgeQuestionMessage{.number = m_lastNumber});
}

void KnowledgeExchange::answered(const KnowledgeAnswerMessage &answer)
{
    const auto question =
            std::find_if(m_questions.begin(), m_questions.end(), [&answer](const Question &asked) {
                return asked.number == answer.number;
            });
    if (question == m_questions.end() || !answer.age)
        return;
    // The reader computed the age after the question was sent.
    m_knowledge.newestReported(answer.configVersion, question->askedAt - *answer.age);
    if (hasRecentKnowledge())
        m_failures = 0;
}

void KnowledgeExchange::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (const auto *question = std::get_if<KnowledgeQuestionMessage>(&message)) {
        m_network.send(node, KnowledgeAnswerMessage{.number = question->number,
                                                    .configVersion = m_knowledge.installedVersion(),
                                                    .age = m_knowledge.age(m_clock.now())});
        return;
    }
    if (const auto *answer = std::get_if<KnowledgeAnswerMessage>(&message))
        answered(*answer);
}

} // namespace jacinthshift
