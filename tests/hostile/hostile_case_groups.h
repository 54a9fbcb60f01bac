#ifndef TESTS_HOSTILE_HOSTILE_CASE_GROUPS_H
#define TESTS_HOSTILE_HOSTILE_CASE_GROUPS_H

#include <vector>

#include "tests/hostile/hostile_case.h"

namespace jacinthshift {

/** The number of clients that each send several megabytes. */
constexpr std::size_t FewHostileClients = 40;
constexpr std::size_t ManyHostileClients = 150;
/** More than the attacked node can accept with 4,100 descriptors. */
constexpr std::size_t ThousandsOfHostileClients = 3'000;
/** What each of FewHostileClients sends: together twice the memory of the node. */
constexpr std::size_t HostileClientBytes = 8 * 1024 * 1024;

/** Adds crowds that send complete requests and leave the node with their responses. */
void addExchangeCases(std::vector<HostileCase> &cases);
/** Adds crowds whose connections cost more than the bytes that they send. */
void addConnectionCases(std::vector<HostileCase> &cases);
/** Adds crowds that speak the protocol between nodes. */
void addLinkFrameCases(std::vector<HostileCase> &cases);
/** Adds crowds that are made of the other cases, on one address and on all of them. */
void addMixedCases(std::vector<HostileCase> &cases);

} // namespace jacinthshift

#endif // TESTS_HOSTILE_HOSTILE_CASE_GROUPS_H
