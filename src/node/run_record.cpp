#include "run_record_p.h"

#include <glog/logging.h>

#include <filesystem>
#include <fstream>

namespace vanillalift::node {

namespace {

    constexpr const char* fileName = "run";

} // namespace

RunRecord::RunRecord(const std::string& folder)
    : m_path(folder + '/' + fileName)
{
    uint64_t earlierRuns = 0;
    std::ifstream file(m_path);
    if (file && file >> earlierRuns)
        m_unfinishedRuns = earlierRuns + 1;
    else if (file.is_open())
        m_unfinishedRuns = 1;
    file.close();
    std::ofstream record(m_path, std::ios::trunc);
    record << m_unfinishedRuns << '\n';
    if (!record.flush())
        LOG(WARNING) << m_path << ": the start of this run cannot be recorded";
}

void RunRecord::finish()
{
    std::error_code ec;
    std::filesystem::remove(m_path, ec);
    if (ec)
        LOG(WARNING) << m_path << ": the end of this run cannot be recorded: " << ec.message();
}

} // namespace vanillalift::node
