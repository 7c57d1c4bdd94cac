#include "command_line_p.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace vanillalift {

CommandLine::CommandLine(std::string program, std::string operands, size_t minOperands, size_t maxOperands)
    : m_program(std::move(program))
    , m_operands(std::move(operands))
    , m_minOperands(minOperands)
    , m_maxOperands(maxOperands)
{
}

void CommandLine::add(const char* name, char shortName, const char* help, bool& value)
{
    m_options.push_back({ .name = name, .shortName = shortName, .valueName = nullptr, .help = help, .flag = &value });
}

void CommandLine::add(const char* name, char shortName, const char* valueName, const char* help, std::string& value)
{
    m_options.push_back({ .name = name, .shortName = shortName, .valueName = valueName, .help = help, .text = &value });
}

void CommandLine::add(const char* name, char shortName, const char* valueName, const char* help, int64_t& value)
{
    m_options.push_back({ .name = name, .shortName = shortName, .valueName = valueName, .help = help, .number = &value, .numberStorage = value });
}

tl::expected<std::vector<std::string>, int> CommandLine::parse(int argc, char** argv)
{
    int isVersionRequested = 0;
    std::vector<poptOption> table { { "version", 'V', POPT_ARG_NONE, &isVersionRequested, 0, "Print the version and exit", nullptr } };
    for (auto& it : m_options) {
        if (it.flag != nullptr)
            table.push_back({ it.name, it.shortName, POPT_ARG_NONE, &it.flagStorage, 0, it.help, nullptr });
        else if (it.text != nullptr)
            table.push_back({ it.name, it.shortName, POPT_ARG_STRING, static_cast<void*>(&it.textStorage), 0, it.help, it.valueName });
        else
            table.push_back({ it.name, it.shortName, POPT_ARG_LONGLONG, &it.numberStorage, 0, it.help, it.valueName });
    }
    table.insert(table.end(), { POPT_AUTOHELP POPT_TABLEEND });
    std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(poptGetContext(m_program.c_str(), argc, const_cast<const char**>(argv), table.data(), 0), poptFreeContext);
    poptSetOtherOptionHelp(context.get(), ("[OPTION...] " + m_operands).c_str());
    int rc = poptGetNextOpt(context.get());
    if (rc < -1) {
        std::cerr << m_program << ": " << poptBadOption(context.get(), POPT_BADOPTION_NOALIAS) << ": " << poptStrerror(rc) << "\n";
        return tl::unexpected(2);
    }
    if (isVersionRequested != 0) {
        std::cout << m_program << " " << VANILLALIFT_VERSION << "\n";
        return tl::unexpected(0);
    }
    for (auto& it : m_options) {
        if (it.flag != nullptr)
            *it.flag = *it.flag || it.flagStorage != 0;
        else if (it.number != nullptr)
            *it.number = it.numberStorage;
        else if (it.textStorage != nullptr)
            *it.text = it.textStorage;
        std::free(std::exchange(it.textStorage, nullptr));
    }
    std::vector<std::string> operands;
    while (const char* it = poptGetArg(context.get()))
        operands.emplace_back(it);
    if (operands.size() < m_minOperands || operands.size() > m_maxOperands) {
        std::cerr << "usage: " << m_program << " [OPTION...] " << m_operands << "\n";
        return tl::unexpected(2);
    }
    return operands;
}

} // namespace vanillalift
