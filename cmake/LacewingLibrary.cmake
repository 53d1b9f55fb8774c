# lacewing_library(<name> [PUBLIC <targets>] [PRIVATE <targets>] [TEST <targets>])
#
# Builds libs/<name> with its house layout:
#   include/<name>/<name>.h   the one public header
#   src/*.cpp                 the implementation
#   tests/*.cpp               one Criterion program, test_<name>
#   benchmarks/*.cpp          one program per file, bench_<name>_<file>
#   fuzz/*.cpp                one libFuzzer program per file, with -DLACEWING_FUZZERS=ON
function(lacewing_library name)
    cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE;TEST" ${ARGN})
    set(root ${CMAKE_CURRENT_SOURCE_DIR})

    file(GLOB sources CONFIGURE_DEPENDS ${root}/src/*.cpp)
    add_library(lacewing_${name} STATIC ${sources})
    add_library(lacewing::${name} ALIAS lacewing_${name})
    target_include_directories(lacewing_${name} PUBLIC ${root}/include PRIVATE ${root}/src)
    target_link_libraries(lacewing_${name} PUBLIC ${ARG_PUBLIC} PRIVATE ${ARG_PRIVATE})

    file(GLOB test_sources CONFIGURE_DEPENDS ${root}/tests/*.cpp)
    if(test_sources AND NOT LACEWING_GATEWAY_ONLY)
        add_executable(test_${name} ${test_sources})
        target_include_directories(test_${name} PRIVATE ${root}/src ${root}/tests)
        target_link_libraries(test_${name} PRIVATE lacewing_${name} PkgConfig::CRITERION ${ARG_PRIVATE} ${ARG_TEST})
        target_compile_definitions(test_${name} PRIVATE LACEWING_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
        set_property(GLOBAL APPEND PROPERTY LACEWING_TEST_TARGETS test_${name})
    endif()

    file(GLOB benchmark_sources CONFIGURE_DEPENDS ${root}/benchmarks/*.cpp)
    if(LACEWING_GATEWAY_ONLY)
        set(benchmark_sources)
    endif()
    foreach(source IN LISTS benchmark_sources)
        get_filename_component(stem ${source} NAME_WE)
        add_executable(bench_${name}_${stem} ${source})
        target_include_directories(bench_${name}_${stem} PRIVATE ${root}/src)
        target_link_libraries(bench_${name}_${stem} PRIVATE lacewing_${name} ${ARG_PRIVATE} ${ARG_TEST})
    endforeach()

    file(GLOB fuzz_sources CONFIGURE_DEPENDS ${root}/fuzz/*.cpp)
    if(LACEWING_FUZZERS)
        foreach(source IN LISTS fuzz_sources)
            get_filename_component(stem ${source} NAME_WE)
            add_executable(fuzz_${name}_${stem} ${source})
            target_include_directories(fuzz_${name}_${stem} PRIVATE ${root}/src)
            target_compile_options(fuzz_${name}_${stem} PRIVATE -fsanitize=fuzzer,address)
            target_link_options(fuzz_${name}_${stem} PRIVATE -fsanitize=fuzzer,address)
            target_link_libraries(fuzz_${name}_${stem} PRIVATE lacewing_${name} ${ARG_PRIVATE})
        endforeach()
    endif()
endfunction()
