#ifndef AUBURNYARD_TEST_FIXED_SEED_H_
#define AUBURNYARD_TEST_FIXED_SEED_H_

#include <cstdlib>

namespace auburnyard {

// RapidCheck reads RC_PARAMS at its first check and otherwise takes a random
// seed. A value from the environment is kept, so that other seeds can be tried.
inline const int kFixedSeedSet =
    setenv("RC_PARAMS", "seed=20260401", /*overwrite=*/0);

}  // namespace auburnyard

#endif  // AUBURNYARD_TEST_FIXED_SEED_H_
