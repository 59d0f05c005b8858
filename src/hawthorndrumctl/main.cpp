/// Entry point.
int main() { return 0; }
