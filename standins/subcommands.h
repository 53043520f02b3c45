/**
 * @file
 * Entry points of the subcommands of `reedtrail-standin`. Each takes its command line, which starts with the name of the subcommand, and returns the exit code.
 */
#pragma once

namespace reedtrail {

int runStore(int argc, char **argv); ///< Stands in for the platform's store, in the JSON form of etcd v3.
int runVmList(int argc, char **argv); ///< Stands in for the platform's list of VMs.
int runWeightStore(int argc, char **argv); ///< Stands in for the platform's rate-limited weight store.
int runEngine(int argc, char **argv); ///< Stands in for a model engine.
int runPlainService(int argc, char **argv); ///< Stands in for a plain service.
int runScorer(int argc, char **argv); ///< Stands in for a service that scores samples.
int runTrainer(int argc, char **argv); ///< Stands in for a trainer, which pulls samples and publishes weights.

} // namespace reedtrail
