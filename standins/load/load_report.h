/**
 * @file
 * Reads the records of stand-ins into the ledger, and prints what came out.
 */
#pragma once

#include "net/http_client.h"
#include "standins/load/load_ledger.h"
#include "standins/load/load_options.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace reedtrail {

/** Adds the runs of a plain service's or an engine's record to @p ledger. */
void addRecord(load_ledger &ledger, const nlohmann::json &record);

/** Reads all records. @param done runs with the trainers' figures when the last was read or given up */
void readRecords(http_client &client, const load_options &options, load_ledger &ledger, std::function<void(nlohmann::json trainers)> done);

/** Returns the report as JSON. */
nlohmann::json loadReport(const load_options &options, const load_ledger &ledger, const nlohmann::json &trainers);

/** Returns the report as a table for a person. */
std::string loadTable(const nlohmann::json &report);

} // namespace reedtrail
