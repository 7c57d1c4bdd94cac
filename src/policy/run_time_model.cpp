#include "run_time_model_p.h"

#include <algorithm>

namespace vanillalift::jobs {

double RunTimeModel::mean(const RunTimeKey& key) const { return key.declaredMs; }

double RunTimeModel::quantile(const RunTimeKey& key, double /*share*/) const { return key.declaredMs; }

double RunTimeModel::remaining(const RunTimeKey& key, double elapsedMs, double share) const { return std::max(0.0, quantile(key, share) - elapsedMs); }

} // namespace vanillalift::jobs
