#include "core/command_line_p.h"
#include "report/burn_report_p.h"

#include <httplib.h>

#include <fstream>
#include <iostream>

using namespace vanillalift;

namespace {

/// @returns null if the entry did not respond.
nlohmann::json fetchBurn(const std::string& address)
{
    constexpr time_t timeoutS = 2;
    httplib::Client client("http://" + address);
    client.set_connection_timeout(timeoutS);
    client.set_read_timeout(timeoutS);
    auto response = client.Get("/v1/burn");
    if (!response || response->status != 200)
        return nullptr;
    auto value = nlohmann::json::parse(response->body, nullptr, false);
    return value.is_discarded() ? nlohmann::json() : value;
}

} // namespace

int main(int argc, char** argv)
{
    bool isJson = false;
    std::string htmlFile;
    CommandLine commandLine("vanillalift-report", "ADMIN_ADDRESS...", 1, 64);
    commandLine.add("json", 'j', "Print the report as JSON instead of text", isJson);
    commandLine.add("html", 'o', "FILE", "Also write the report as an HTML page to FILE", htmlFile);
    auto addresses = commandLine.parse(argc, argv);
    if (!addresses)
        return addresses.error();
    std::vector<nlohmann::json> responses;
    for (const auto& it : *addresses)
        responses.push_back(fetchBurn(it));
    auto report = makeBurnReport(*addresses, responses);
    if (isJson)
        std::cout << toJson(report).dump(2) << "\n";
    else
        printText(std::cout, report);
    if (!htmlFile.empty()) {
        std::ofstream file(htmlFile);
        printHtml(file, report);
        if (!file.flush()) {
            std::cerr << htmlFile << ": the HTML report cannot be written\n";
            return 1;
        }
    }
    return report.entries.empty() ? 1 : 0;
}
