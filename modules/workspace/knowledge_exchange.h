#ifndef MODULES_WORKSPACE_KNOWLEDGE_EXCHANGE_H
#define MODULES_WORKSPACE_KNOWLEDGE_EXCHANGE_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/fleet/fleet_network.h"
#include "modules/workspace/knowledge_age.h"

namespace jacinthshift {

struct KnowledgeExchangeOptions
{
    /**
     * Age from which a reader is asked. A node that reads the store itself stays below it, and a
     * node that was answered by a reader reaches it about a second later.
     */
    std::chrono::milliseconds askAge{1'500};
    /** Time after which a question counts as unanswered and another reader is asked. */
    std::chrono::milliseconds answerTimeout{400};
    std::chrono::milliseconds checkPeriod{100};
    std::uint64_t randomSeed = 0; ///< Seeds the choice of the readers to ask.
};

/**
 * Asks nodes that read the store which configuration was the newest and when, and answers such
 * questions. One reader is asked at a time: of the own failure domain or, if none is there or has
 * recent knowledge, of another one.
 */
class KnowledgeExchange final : public FleetObserver
{
    struct Question
    {
        std::uint64_t number = 0;
        BootTime askedAt;
    };

    KnowledgeExchangeOptions m_options;
    FleetNetwork &m_network;
    const BootClock &m_clock;
    KnowledgeAge &m_knowledge;
    std::function<bool()> m_isNeeded;
    Random m_random;
    /** The last questions, as an answer that arrives late is valid for the time of its question. */
    std::vector<Question> m_questions;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_nextReader = 0; ///< Which reader of the own domain is asked.
    std::size_t m_failures = 0;     ///< Questions since the last one that gave recent knowledge.
    Timer m_timer;

    void check();
    bool hasRecentKnowledge() const;
    /** Returns the name of the reader to ask, or an empty string if none can be reached. */
    std::string chooseReader();
    void ask();
    void answered(const KnowledgeAnswerMessage &answer);

public:
    /** Readers are asked while isNeeded returns true. */
    KnowledgeExchange(const KnowledgeExchangeOptions &options, FleetNetwork &network,
                      TimerService &timers, const BootClock &clock, KnowledgeAge &knowledge,
                      std::function<bool()> isNeeded);

    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &) override {}
};

} // namespace jacinthshift

#endif // MODULES_WORKSPACE_KNOWLEDGE_EXCHANGE_H
