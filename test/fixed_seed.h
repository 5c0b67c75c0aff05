#ifndef AUBURNYARD_TEST_FIXED_SEED_H_
#define AUBURNYARD_TEST_FIXED_SEED_H_

#include <cstdlib>

namespace auburnyard {

// RapidCheck reads RC_PARAMS at its first check; without a value it uses a
// random seed. A value set in the environment takes precedence, so that other
// seeds can be tried.
inline const int kFixedSeedSet =
    setenv("RC_PARAMS", "seed=20260401", /*overwrite=*/0);

}  // namespace auburnyard

#endif  // AUBURNYARD_TEST_FIXED_SEED_H_
