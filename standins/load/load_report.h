/**
 * @file
 * Reads the records of the stand-ins into the ledger and formats the report.
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

/** Adds the runs in @p record, the GET /record response of a plain service or an engine, to @p ledger. */
void addRecord(load_ledger &ledger, const nlohmann::json &record);

/** Reads all records one after the other. @param done receives the trainers' records after the last request has succeeded or failed */
void readRecords(http_client &client, const load_options &options, load_ledger &ledger, std::function<void(nlohmann::json trainers)> done);

/** Returns the report as JSON. */
nlohmann::json loadReport(const load_options &options, const load_ledger &ledger, const nlohmann::json &trainers);

/** Formats the JSON report as a human-readable table. */
std::string loadTable(const nlohmann::json &report);

} // namespace reedtrail
