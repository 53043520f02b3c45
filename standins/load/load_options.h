/**
 * @file
 * Command-line options of reedtrail-load.
 */
#pragma once

#include "base/failure.h"
#include "base/time.h"
#include "kernel/command_line.h"
#include "net/endpoint.h"
#include "standins/load/load_ledger.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace reedtrail {

/** Name and access token of a customer. */
struct load_customer
{
    std::string name;
    std::string token;
};

/** Load parameters of one kind of caller. */
struct load_caller
{
    double arrivalsPerSecond = 0; ///< Mean arrival rate; 0 disables this kind.
    std::string pool;
    std::string path; ///< Path below the pool; empty for completions.
    duration deadline{};
};

/** Parameters of one load run. */
struct load_options
{
    std::vector<endpoint> gates; ///< Entry VMs that receive the requests.
    std::vector<load_customer> customers;
    std::array<load_caller, callerKindCount> callers;
    std::vector<endpoint> recordEndpoints; ///< Stand-in servers whose GET /record is compared with the observed outcomes.
    std::vector<endpoint> trainerEndpoints; ///< Trainers whose GET /record is added to the report.
    duration loadDuration = std::chrono::seconds(10);
    duration settleTime = std::chrono::seconds(2); ///< Wait between the end of the last operation and the reading of the records.
    std::uint64_t seed = 1;
    double repeatShare = 0.3; ///< Share of the answered proof operations that are repeated through another entry VM.
    double raceShare = 0.1; ///< Share of the proof operations that are sent through two entry VMs at once.
    std::uint64_t maximumTokens = 48; ///< Value of max_tokens in completion requests.
    bool mayCut = false; ///< Whether responses may break off, as they do when an entry VM is killed.
    bool asJson = false; ///< Whether only the JSON report is printed.
};

/** Returns the command-line parser of reedtrail-load. */
command_line makeLoadCommandLine();

/** Converts the parsed command line. @return the options, or BadUsage with the option and its allowed values */
result<load_options> readLoadOptions(const parsed_line &parsed);

} // namespace reedtrail
