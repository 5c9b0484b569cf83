#include <cstdio>

int main()
{
    std::puts("signature 0");
    return 0;
}
