/**
 * @file
 * The stand-ins of `reedtrail-standin`, one file each. Each takes its command line from its name on and returns the exit code.
 */
#pragma once

namespace reedtrail {

int runStore(int argc, char **argv); ///< Platform's store, in the JSON form of etcd v3.
int runVmList(int argc, char **argv); ///< Platform's list of VMs.
int runWeightStore(int argc, char **argv); ///< Platform's weight store, with a rate limit.
int runEngine(int argc, char **argv); ///< Model engine.
int runPlainService(int argc, char **argv); ///< Plain service.
int runScorer(int argc, char **argv); ///< Service that scores samples.
int runTrainer(int argc, char **argv); ///< Trainer, which pulls samples and publishes weights.

} // namespace reedtrail
