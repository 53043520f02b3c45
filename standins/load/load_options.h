/**
 * @file
 * Command line of reedtrail-load.
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

/** A customer and its token. */
struct load_customer
{
    std::string name;
    std::string token;
};

/** What one kind of caller does. */
struct load_caller
{
    double perSecond = 0;
    std::string pool;
    std::string path; ///< Of plain services, below the pool.
    duration deadline{};
};

/** The whole load. */
struct load_options
{
    std::vector<endpoint> gates;
    std::vector<load_customer> customers;
    std::array<load_caller, callerKindCount> callers;
    std::vector<endpoint> records; ///< Stand-ins whose GET /record is compared.
    std::vector<endpoint> trainers; ///< Trainers whose GET /record is added to the report.
    duration length = std::chrono::seconds(10);
    duration settle = std::chrono::seconds(2); ///< Between the last answer and the reading of records.
    std::uint64_t seed = 1;
    double repeatShare = 0.3; ///< Share of the proofs that are sent again through another entry VM though they were answered.
    double raceShare = 0.1; ///< Share of the proofs that are sent through two entry VMs at once.
    std::uint64_t maximumTokens = 48;
    bool mayCut = false; ///< Whether answers cut in the middle are allowed, as under a kill of an entry VM.
    bool asJson = false;
};

/** Describes the options of the program. */
command_line makeLoadCommandLine();

/** Reads the options. @return BadUsage naming the option and what is allowed */
result<load_options> readLoadOptions(const parsed_line &parsed);

} // namespace reedtrail
